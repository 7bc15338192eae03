Feature: The policy meets its targets under load

  Each bound is a performance target that was set in advance.

  Scenario: At load 0.8 first tokens and the tokens that follow arrive in time
    When Kingston runs at load 0.8 with seeds 1 and 2
    Then the 95th percentile of the time to first token is at most 1.2 s
    And the 95th percentile of the gap between tokens is at most 53 ms

  Scenario: At load 1.0 preemptions are at most a tenth of the best baseline's
    When Kingston runs at load 1.0 with seeds 1 and 2, baselines as well
    Then preemptions are at most 0.1 of the best baseline's

  Scenario: At load 1.0 goodput is no lower than the best baseline's
    When Kingston runs at load 1.0 with seeds 1 and 2, baselines as well
    Then goodput is at least 1.0 of the best baseline's

  Scenario: At load 1.0 stall time is at most a third of the best baseline's
    When Kingston runs at load 1.0 with seeds 1 and 2, baselines as well
    Then stall time is at most 0.3333 of the best baseline's

  Scenario: At load 1.0 stall time is within 1.3 of the oracle's
    When Kingston runs at load 1.0 with seeds 1 and 2, baselines as well
    Then stall time is at most 1.3 of the oracle's

  Scenario: A failure domain leaves at load 0.6 and returns
    When Kingston's first failure domain leaves and returns with seeds 1 and 2
    Then no request is refused or lost
    And no cold engine runs a larger batch than it can sustain

  Scenario: The fair queue divides work evenly between teams, whatever their request counts
    Given a queue in which "large" waits with 40 items and "small" with 40 items
    And an item of "large" costs 4 and one of "small" costs 1
    When 25 items are taken
    Then "small" was given 20 items and "large" 5

  Scenario: A low priority is not starved
    Given a queue in which an item of priority 3 waits and items of priority 9 keep coming
    When items are taken for 60 seconds
    Then the item of priority 3 was taken

  Scenario: A team that was idle gets no credit for that time
    Given a queue that served "large" 1000 items while "small" was idle
    When both queue 20 items and 20 items are taken
    Then "small" was given 10 items and "large" 10

  Scenario: A queue of 2000 items checks only the first item of each priority
    Given a queue of 2000 items of 100 teams in one lane and 2 priorities
    When an item is popped and none may start
    Then 2 items were checked

  Scenario: A suspected cold endpoint returns to its initial limit
    Given an endpoint whose limit has grown to its maximum
    When the time between tokens grows five times
    Then its limit is the initial limit

  Scenario: The predicted remaining length grows with the tokens generated so far
    Given lengths drawn from a heavy-tailed distribution
    Then the median remaining length grows with the tokens so far
    And the predicted 0.9 quantile covers 0.85 to 0.95 of new lengths
