Feature: An endpoint gets no more requests than the limit that it names

  Scenario Outline: All gateways together keep to a limit, whoever has the callers
    Given <n> gateways before desk-a and desk-b
    When desk-a and desk-b name a limit of <limit> a second
    And callers send <rate> lookups a second to <whom> for 14 seconds, <fault>
    Then each endpoint got in no 4 seconds more than 1.5 times its limit and 5
    And each got at least <least> requests

    Examples:
      | n  | limit | rate | whom | fault                                   | least |
      | 1  | 3.0   | 30   | all  | and nothing fails                       | 30    |
      | 3  | 6.7   | 30   | all  | and nothing fails                       | 75    |
      | 3  | 6.7   | 30   | one  | and nothing fails                       | 75    |
      | 3  | 3.0   | 30   | all  | and a gateway restarts now and then     | 25    |
      | 3  | 3.0   | 30   | all  | and each fifth frame is lost            | 30    |
      | 26 | 1.0   | 30   | all  | and nothing fails                       | 9     |
      | 26 | 1.0   | 30   | one  | and nothing fails                       | 9     |
      | 68 | 0.3   | 40   | all  | and nothing fails                       | 3     |
      | 3  | 0.0   | 30   | all  | and nothing fails                       | 1     |

  Scenario: Gateways that are cut off from most others use only their own part
    Given 5 gateways before desk-a and desk-b
    When desk-a and desk-b name a limit of 5.0 a second
    And callers send 40 lookups a second to all for 4 seconds, and nothing fails
    And gateway 0 is cut off from the others
    And callers send 40 lookups a second to all for 14 seconds, and nothing fails
    Then each endpoint got in no 4 seconds more than 1.5 times its limit and 5

  Scenario: What is over a limit goes to an endpoint without one first
    Given 1 gateways before desk-a and desk-b
    When desk-a names a limit of 1.0 a second
    And callers send 20 lookups a second to all for 8 seconds, and nothing fails
    Then no caller is refused
    And desk-a got at most 12 requests

  Scenario: What no endpoint takes in time is refused at once, with the time to come back
    Given 1 gateways before desk-a
    When desk-a names a limit of 0.5 a second
    And callers send 20 lookups a second to all for 4 seconds, and nothing fails
    Then each refused caller is told to come back after 0.05 to 4 seconds
    And each was refused within 0.15 seconds

  Scenario: A limit that its endpoint no longer names is over for all gateways
    Given 3 gateways before desk-a
    When desk-a names a limit of 0.0 a second
    And callers send 5 lookups a second to all for 3 seconds, and nothing fails
    And desk-a names no limit
    And callers send 5 lookups a second to one for 14 seconds, and nothing fails
    Then no gateway knows a limit of desk-a

  @fixture.edge
  Scenario Outline: An answer ends a limit only if it is newer
    Given the plain endpoints desk-a
    When an answer to a request from <asked> s ago names the limit <first>
    And 1 seconds go by
    And an answer to a request from <asked_next> s ago names the limit <next>
    Then the limit of desk-a is <expected>

    Examples:
      | asked | first | asked_next | next | expected |
      | 0.1   | 3.0   | 0.1        | none | none     |
      | 0.1   | 3.0   | 1.05       | none | 3.0      |
      | 0.1   | 3.0   | 1.05       | 5.0  | 3.0      |
      | 0.1   | 3.0   | 1.05       | 2.0  | 2.0      |
      | 0.1   | 3.0   | 0.1        | 5.0  | 5.0      |
      | 0.1   | none  | 1.05       | 2.0  | 2.0      |

  @fixture.edge
  Scenario: An answer that is not signed ends no limit
    Given the plain endpoints desk-a
    When an answer to a request from 0.1 s ago names the limit 3.0
    And 1 seconds go by
    And an answer without a signature names no limit
    Then the limit of desk-a is 3.0

  @fixture.edge
  Scenario: A new incarnation owes nothing to the limit of the one before it
    Given the plain endpoints desk-a
    When an answer to a request from 0.1 s ago names the limit 3.0
    And desk-a starts anew
    Then the limit of desk-a is none
    When an answer of the incarnation before names the limit 3.0
    Then the limit of desk-a is none

  @fixture.edge
  Scenario: A huge count of another gateway does not close an endpoint for long
    Given the plain endpoints desk-a
    When an answer to a request from 0.1 s ago names the limit 2.0
    And another gateway tells of 1 and then of 9000000000000000000 requests to desk-a
    And 12 seconds go by
    And the store confirms the operators' rows
    And a lookup is sent
    Then 1 attempts were sent for it

  @fixture.edge
  Scenario: A stream resumes at a limited mirror only within the reserve
    Given the engines engine-a and engine-b
    And a summary that got the events 1 to 10
    When its mirror names a limit of 0.1 a second and gets 4 requests of another gateway
    And its engine breaks the connection
    Then the summary fails as generation_lost
    And its mirror got no request of it

  @fixture.edge
  Scenario: A stream resumes at a limited mirror from the reserve
    Given the engines engine-a and engine-b
    And a summary that got the events 1 to 10
    When its mirror names a limit of 0.1 a second and gets 1 requests of another gateway
    And its engine breaks the connection
    Then its mirror got the rest of it

  @fixture.platform_world
  Scenario Outline: A limit is read from the header of every answer
    Given an endpoint whose answer has the limit <text> and status <status>
    When a caller of the platform sends a badge
    Then the gateway knows the limit <limit>

    Examples:
      | text                 | status | limit |
      | 6.7                  | 200    | 6.7   |
      | 0                    | 200    | 0.0   |
      | 12                   | 500    | 12.0  |
      | 2.5                  | 503    | 2.5   |
      | 2.5                  | 421    | none  |
      | -1                   | 200    | none  |
      | 1e3                  | 200    | none  |
      | nan                  | 200    | none  |
      | 3, 4                 | 200    | none  |
      | 99999999999999999999 | 200    | none  |
      |                      | 200    | none  |
