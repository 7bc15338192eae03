Feature: An engine begins one long prompt at a time, and no request waits beyond its slack

  Scenario Outline: A prompt waits only for long ones, and only within its slack
    Given a prompt of <prompt_ms> ms, a shortest target of 1500 ms and <slack_ms> ms of slack
    When long prompts are read there for another <reading_ms> ms
    Then it <outcome>

    Examples:
      | prompt_ms | reading_ms | slack_ms | outcome |
      | 300       | none       | 1500     | begins  |
      | 300       | 200        | 1500     | waits   |
      | 300       | 0          | 1500     | waits   |
      | 300       | 200        | 500      | waits   |
      | 300       | 201        | 500      | begins  |
      | 300       | 200        | -1       | begins  |
      | 188       | 200        | 1500     | waits   |
      | 187       | 200        | 1500     | begins  |
      | 0         | 200        | 1500     | begins  |

  Scenario: A long prompt waits for another one, and short ones pass it
    Given a gateway with prefill turns before one engine
    When it gets a long request, a long request and a short request
    Then long-1 and short-3 are at the engine
    And long-2 is noted as held
    When the first event of long-1 arrives
    Then long-1, short-3 and long-2 are at the engine

  Scenario: A long prompt is sent in time although the one before is never read
    Given a gateway with prefill turns before one engine
    When it gets a long request and a long request
    And 0.5 seconds go by at the gateway
    Then long-1 and long-2 are at the engine

  Scenario: A prompt of another gateway counts until the engine had the time to read it
    Given a gateway with prefill turns before one engine
    When another gateway reports 3000 prompt tokens there
    And it gets a long request
    Then nothing is at the engine
    When 0.2 seconds go by at the gateway
    And another gateway reports 3000 prompt tokens there
    Then nothing is at the engine
    When 0.15 seconds go by at the gateway
    Then long-1 is at the engine

  Scenario Outline: Without turns, or without a measured rate, nothing waits
    Given a gateway <kind> before one engine
    When it gets a long request and a long request
    Then long-1 and long-2 are at the engine

    Examples:
      | kind                                      |
      | without prefill turns                     |
      | with prefill turns and no prefill rate    |

  Scenario Outline: Neither kind gets better at the expense of the other
    Given the load <load> at <n_engines> engines, replayed with 12 gateways
    When it is replayed with turns as well
    Then no kind has fewer first events in time, or a mean that is longer beyond chance
    And <meetings> long prompts meet

    Examples:
      | load               | n_engines | meetings           |
      | steady             | 6         | under half as many |
      | mostly long        | 6         | under 0.6 as many  |
      | mostly short       | 6         | as few             |
      | heavy              | 6         | under 0.8 as many  |
      | changing each 3 s  | 6         | under 0.9 as many  |
      | an engine leaves   | 6         | under 0.6 as many  |
