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

  Scenario Outline: A whole answer is read however it is framed
    Given a server that sends a report <framing>
    When the report is read
    Then it is whole

    Examples:
      | framing                                 |
      | without a length and ends               |
      | without a length in pieces and ends     |
      | of 100,000 bytes with their length      |
      | of 100,000 bytes in chunks              |

  Scenario: A slow but sound stream is not cut
    Given an engine whose events come every 0.3 s, and 5 of them
    When a generation is run there with 0.5 s for each event
    Then all 5 tokens arrive and the generation ends

  Scenario: A stream that stalls and sends a byte now and then is ended
    Given an engine that sends a byte of its first event every 0.1 s
    When a generation is run there with 0.5 s for each event
    Then it fails within 4 s

  Scenario: Leases run out while the host is suspended
    Given a gateway and a sidecar
    When the host is suspended for 100 s
    Then the clocks of both have counted it

  Scenario: Requests that were sent before a stop are answered
    Given a server with 5 kept connections
    When 20 new connections and the kept ones send requests and the server stops
    Then all 25 requests are answered and the server ends

  Scenario: A request whose body is still arriving at a stop is answered
    Given a platform gateway with an endpoint that answers
    When a caller sends the head of a badge and its body after the gateway stops
    Then the badge is answered
