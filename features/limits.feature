Feature: A team's limits hold over all gateways together

  Scenario Outline: A team that asks for more than its limit gets its limit
    Given 3 gateways that share a team's limit of 60 requests a second
    When callers send <first>, <second> and <third> requests a second to them
    Then the team gets between 0.95 and 1.05 of its limit

    Examples:
      | first | second | third |
      | 40    | 40     | 40    |
      | 100   | 5      | 1     |
      | 90    | 0      | 0     |
      | 30    | 30     | 6     |

  Scenario: A team that asks for less than its limit gets what it asks for
    Given 3 gateways that share a team's limit of 60 requests a second
    When callers send 30, 10 and 2 requests a second to them
    Then at most 2 in 100 requests are refused

  Scenario: A gateway that is cut off falls back to an even share
    Given 3 gateways that share a team's limit of 60 requests a second
    And the gateways lose their connections to each other after 10 seconds
    When callers send 50, 50 and 50 requests a second to them
    Then the team gets between 0.95 and 1.05 of its limit

  Scenario: Another gateway takes over when the owner of a team's limit dies
    Given 3 gateways that share a team's limit of 60 requests a second
    And the owner of the team dies after 10 seconds
    When callers send 50, 50 and 50 requests a second to them
    Then the team gets between 0.95 and 1.05 of its limit

  Scenario: Changed limits apply at once
    Given 3 gateways that share a team's limit of 60 requests a second
    And the limit becomes 30 requests a second after 10 seconds
    When callers send 40, 40 and 40 requests a second to them
    Then the team gets between 0.95 and 1.05 of its limit

  Scenario: A token debt remains after a pause
    Given 3 gateways that share a team's limit of 60 requests a second
    And the team may use 100 tokens a second
    When one gateway delivers 3000 tokens to it and then nothing for 25 seconds
    Then its next request there is refused
    And after 40 more seconds a request there is admitted

  Scenario Outline: Retries stay bounded when attempts fail after a healthy minute
    Given a gateway's retries after a minute of <rate> successes a second
    When <share> percent of the attempts fail for a minute
    Then at most 1.1 dispatches per request are made in that minute

    Examples:
      | rate | share |
      | 7    | 33    |
      | 7    | 100   |
      | 20   | 33    |
      | 20   | 100   |
