Feature: What all messages hold in memory together is bounded

  Scenario: The peer that holds most loses its largest message to make room
    Given a budget of 100 bytes
    And messages of 20 and 15 bytes of a and of 20 bytes of b, c and d
    When a message of e grows to 10 bytes
    Then only the message of 20 bytes of a is dropped

  Scenario: A peer that holds little loses nothing to many that hold more, each alike
    Given a budget of 100 bytes
    And messages of 20 bytes of a, b, c, d and e
    When a message of f grows to 10 bytes
    Then only the message of 20 bytes of a is dropped

  Scenario: Of many peers that hold alike, the one that grows beyond them is dropped
    Given a budget of 100 bytes
    And messages of 20 bytes of a, b, c, d and e
    When a message of f grows to 21 bytes
    Then only the message of 21 bytes of f is dropped

  Scenario: Messages that never end cost their peers, not one that grows beyond them
    Given a budget of 105 bytes
    And messages of 20 bytes of a, b, c, d and e
    And messages of b and d are incomplete
    When a message of f grows to 25 bytes
    Then only the message of 20 bytes of b is dropped

  Scenario: An incomplete message that holds little is not dropped for a large one
    Given a budget of 105 bytes
    And messages of 20 bytes of a, b, c, d and e
    And messages of b and d are incomplete
    When a message of f grows to 60 bytes
    Then only the message of 60 bytes of f is dropped

  Scenario Outline: Reserved messages are dropped only above their share
    Given a budget of 100 bytes
    And messages of 20 bytes of a, b, c, d and e
    When a reserved message of f grows to <n> bytes
    Then only the message of <dropped> is dropped

    Examples:
      | n  | dropped       |
      | 10 | 20 bytes of a |
      | 26 | 26 bytes of f |

  Scenario: A body in chunks of some bytes holds little more than these bytes
    Given a server that sends a head of a chunked body, then chunks of 4 bytes without end
    When the memory is watched while it is called as an endpoint
    Then the call has failed
    And the process grew by at most 48 MiB

  Scenario: Answers without end cost their servers, and nobody else
    Given 4 servers that send letters without end
    And a server that sends a whole answer of 1 MiB slowly
    When all of them are called at once
    Then the answers without end have failed
    And the whole answer has arrived
    And all messages together never held more than the budget

  @fixture.platform_world
  Scenario: Events without end for a caller that reads nothing are dropped with it
    Given an endpoint that sends a head of a stream, then long events without end
    When a caller asks for a summary and reads nothing
    Then its request is cancelled within 8 s
    And all messages together never held more than the budget

  @fixture.platform_world
  Scenario: A caller whose body finds no room is refused, and its request is not run
    Given an endpoint that answers with a whole answer and then closes
    And messages of others that fill the budget
    When a caller posts a badge
    Then the caller gets status 503 and nothing of it reached the endpoint
    When the messages of others are gone
    And a caller posts a badge
    Then the caller gets status 200
