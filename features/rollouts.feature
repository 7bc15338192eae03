Feature: A service moves to another version in steps, or back at once

  Scenario: Without an order versions mix as they did, and the store is not asked
    Given a service of two versions behind 3 gateways
    When callers send requests for 2 seconds
    Then both versions got requests and the store got no call for rollouts

  Scenario Outline: A version gets its verdict while nothing else fails
    Given a service of two versions behind 5 gateways
    And the new version fails <errors> of its responses
    When the operator orders the new version
    And callers send requests until it is over
    Then it is <state> within its duration and its bounds
    And the operator saw <shown>

    Examples:
      | errors | state       | shown                   |
      | 0.0    | succeeded   | test, move, succeeded   |
      | 0.5    | rolled_back | test, rolled_back       |
      | 0.1    | rolled_back | test, rolled_back       |

  Scenario Outline: A dead or frozen holder is replaced, and does no harm when it returns
    # Guards against two holders that both write, and against a rollout without any.
    Given a service of two versions behind 5 gateways
    And the new version fails <errors> of its responses
    When the operator orders the new version
    And callers send requests for <before> seconds
    And the holder stops for <seconds> seconds
    And callers send requests until it is over
    Then it is <state> within its duration and its bounds
    And nobody but the last holder wrote after it took the lease

    Examples:
      | errors | before | seconds | state       |
      | 0.0    | 2      | 100     | succeeded   |
      | 0.0    | 2      | 4       | succeeded   |
      | 0.1    | 0.3    | 100     | rolled_back |
      | 0.1    | 0.3    | 6       | rolled_back |

  Scenario Outline: While the store is silent nothing steps forward
    Given a service of two versions behind 5 gateways
    When the operator orders the new version
    And callers send requests for <before> seconds
    And the store is silent and callers send requests for 3.5 seconds
    Then the new version got no larger share than before
    When the store is back
    And callers send requests until it is over
    Then it is succeeded within its duration and its bounds

    Examples:
      | before |
      | 0.1    |
      | 0.4    |
      | 0.8    |
      | 3      |

  Scenario: A bad version is stopped while the store is silent, and written down later
    Given a service of two versions behind 5 gateways
    When the operator orders the new version
    And callers send requests for 2 seconds
    And the new version fails 0.5 of its responses from now on
    And the store is silent and callers send requests for 3 seconds
    Then the new version gets nothing from now on for 1 seconds
    When the store is back
    And callers send requests until it is over
    Then it is rolled_back within its duration and its bounds

  Scenario: The holder stops a bad version during the move
    Given a service of two versions behind 5 gateways
    When the operator orders the new version
    And callers send requests until the traffic moves
    And the new version fails 0.9 of its responses from now on
    And requests at old endpoints go on
    And callers send requests until it is over
    Then the new version gets nothing from now on for 1 seconds
    And the old version gets requests again

  Scenario Outline: A write whose response is lost is looked up and does no harm
    Given a service of two versions behind 5 gateways
    When the operator orders the new version
    And callers send requests for <before> seconds
    And responses to writes are lost for 1.5 seconds
    And callers send requests until it is over
    Then it is succeeded within its duration and its bounds

    Examples:
      | before |
      | 0.0    |
      | 1      |
      | 7.8    |

  Scenario: A write that the store performs seconds later changes nothing
    Given a service of two versions behind 5 gateways
    When the operator orders the new version
    And callers send requests for 2 seconds
    And the store is silent and callers send requests for 2 seconds
    And the store is back
    And callers send requests for 1 seconds
    And the store performs the late writes
    Then all late writes were refused
    When callers send requests until it is over
    Then it is succeeded within its duration and its bounds

  Scenario: A gateway that starts in the middle sends nothing before it has the state
    Given a service of two versions behind 5 gateways
    When the operator orders the new version
    And callers send requests for 2 seconds
    And the store is silent and gateway 4 restarts, cut off from the others
    And callers send requests for 2 seconds
    Then gateway 4 sent nothing to the new version since it restarted

  Scenario: A gateway that starts after a roll back keeps to it
    Given a service of two versions behind 5 gateways
    And the new version fails 0.5 of its responses
    When the operator orders the new version
    And callers send requests until it is over
    And gateway 2 restarts
    Then the new version gets nothing from now on for 2 seconds

  Scenario: A gateway that is cut off from the others sends less, never more
    Given a service of two versions behind 5 gateways
    When the operator orders the new version
    And callers send requests for 2 seconds
    And a gateway that does not hold the lease is cut off for 6.4 seconds
    Then it sent nothing to the new version in the last 3 seconds

  Scenario Outline: A restored store gets the end written again, and nothing goes back
    Given a service of two versions behind 5 gateways
    And the new version fails <errors> of its responses
    When the operator orders the new version
    And callers send requests for 0.3 seconds
    And the store keeps a copy
    And callers send requests until it is over
    And the store comes back from <copy>
    And callers send requests for 2 seconds
    Then the store has <state> again and no gateway has left it

    Examples:
      | errors | copy         | state       |
      | 0.0    | that copy    | succeeded   |
      | 0.5    | that copy    | rolled_back |
      | 0.5    | an empty one | rolled_back |

  Scenario: A state that is over does not go back, whatever number a frame has
    Given a service of two versions behind 3 gateways
    And the new version fails 0.5 of its responses
    When the operator orders the new version
    And callers send requests until it is over
    And a frame of a later holder tells of the test phase
    Then no gateway has left rolled_back

  Scenario: A second order while one runs is refused
    Given a service of two versions behind 5 gateways
    When the operator orders the new version
    And callers send requests for 1 seconds
    And the operator orders v3 for 12 seconds
    And callers send requests until it is over
    Then it is succeeded within its duration and its bounds
    And the log has rollout_refused with "is not over"
    And v3 got no rollout after 2 seconds

  Scenario Outline: An order that can't be carried out changes nothing and is logged
    Given a service of two versions behind 3 gateways
    When the operator orders <to> for <duration> seconds
    And callers send requests for 2 seconds
    Then the store has no rollout and both versions got requests
    And the log has <event> with "<text>"

    Examples:
      | to | duration | event           | text        |
      | v9 | 12       | rollout_waits   | no endpoint |
      | v2 | 0        | rollout_refused | duration_s  |
      | v9 | 0        | rollout_refused | duration_s  |

  Scenario: A withdrawn order does not stop its rollout
    Given a service of two versions behind 3 gateways
    When the operator orders the new version
    And callers send requests for 2 seconds
    And the operator withdraws the order
    And callers send requests until it is over
    Then it is succeeded within its duration and its bounds
    And the log has rollout_withdrawn with "goes on"

  Scenario: A version that was rolled back may be ordered again
    Given a service of two versions behind 3 gateways
    And the new version fails 0.5 of its responses
    When the operator orders the new version
    And callers send requests until it is over
    And the new version fails 0.0 of its responses from now on
    And the operator orders v2 for 12 seconds
    And callers send requests until the state is succeeded
    Then it is succeeded within its duration and its bounds

  Scenario Outline: Attempts that break with the end of an endpoint say nothing of it
    # Guards against a roll back because the host of the tested endpoint fails.
    Given a service of two versions behind 5 gateways
    When the operator orders the new version
    And callers send requests for 3 seconds
    And 4 attempts at a new endpoint break, and it <fate>
    And callers send requests until it is over
    Then it is <state> within its duration and its bounds

    Examples:
      | fate            | state       |
      | is gone         | succeeded   |
      | goes on         | rolled_back |

  @fixture.edge
  Scenario: Streams leave the old endpoints while the traffic moves
    Given the engines engine-a and engine-b
    And a summary that got the events 1 to 10
    When the traffic of its service moves to the version of engine-c
    Then a copy of its run is requested from its engine
