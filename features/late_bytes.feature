Feature: Late bytes and a planned stop give no caller a wrong answer or none

  Scenario Outline: A second copy of an answer is never taken for the next one
    Given a server that sends each answer again at the next request
    When <client> calls it twice
    Then each call gets its own answer

    Examples:
      | client             |
      | the store's client |
      | the engine client  |
      | the order client   |

  Scenario: Requests that were sent before a stop are answered
    Given a server with 5 kept connections
    When 20 new connections and the kept ones send requests and the server stops
    Then all 25 requests are answered and the server ends

  Scenario: A request whose body is still arriving at a stop is answered
    Given a platform gateway with an endpoint that answers
    When a caller sends the head of a badge and its body after the gateway stops
    Then the badge is answered
