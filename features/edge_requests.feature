@fixture.edge
Feature: A gateway that calls endpoints itself retries safely and balances load

  Scenario Outline: A request is retried only where that is safe
    Given the plain endpoints desk-a and desk-b
    When a <kind> is sent and the endpoint <outcome>
    Then <n> attempts were sent for it
    And the request ends as <end>

    Examples:
      | kind   | outcome                          | n | end             |
      | badge  | breaks off                       | 1 | outcome_unknown |
      | badge  | answers 500                      | 1 | 500             |
      | badge  | refuses, then answers 200        | 2 | 200             |
      | badge  | answers 404                      | 1 | 404             |
      | lookup | breaks off, then answers 200     | 2 | 200             |
      | lookup | answers 500, then answers 200    | 2 | 200             |
      | lookup | answers 500, then answers 500    | 2 | 500             |
      | lookup | breaks off, then breaks off      | 2 | outcome_unknown |
      | lookup | breaks off, then refuses         | 3 | open            |
      | lookup | breaks off, then refuses, then refuses, then waits, then refuses | 4 | outcome_unknown |
      | badge  | refuses, then breaks off         | 2 | outcome_unknown |

  Scenario: A retry goes to another endpoint
    Given the plain endpoints desk-a and desk-b
    When a lookup is sent and the endpoint answers 500, then answers 200
    Then the attempts went to different endpoints

  Scenario: Retries stay within this gateway's share of the retry budget
    Given the plain endpoints desk-a and desk-b
    And 4 other gateways
    When 20 lookups are sent and every endpoint answers 500
    Then 6 retries were sent

  Scenario Outline: A request that gets no answer or endpoint in time fails at once
    Given the plain endpoints <endpoints>
    When a badge is sent
    And <wait> seconds go by
    Then the request ends as <end>

    Examples:
      | endpoints | wait | end                  |
      | desk-a    | 1.1  | deadline_after_start |
      | none      | 0.3  | no_endpoint          |

  Scenario: The attempt of a caller that disconnects is cancelled
    Given the plain endpoints desk-a
    When a lookup is sent
    And its caller disconnects
    Then the attempt is cancelled

  Scenario: A request whose key has expired meanwhile is not sent again
    Given the engines engine-a and engine-b
    And keys stay valid for 4.5 seconds without a confirmation
    And a summary that was sent
    When 5 seconds go by
    And the endpoint refuses the attempt
    Then 1 attempts were sent for it
    And the request ends as platform_unavailable

  Scenario: Keys expire when the store has not confirmed the deployment for too long
    Given the plain endpoints desk-a
    And keys stay valid for 4.5 seconds without a confirmation
    When 4.4 seconds go by
    And a lookup is sent
    Then 1 attempts were sent for it
    When 0.2 seconds go by
    And a lookup is sent
    Then the request ends as platform_unavailable
    And 0 attempts were sent for it

  Scenario: An older deployment never replaces a newer one
    Given the plain endpoints desk-a
    When version 5 with no route is deployed
    And version 4 with all routes is deployed
    And a lookup is sent
    Then the request ends as unknown_route

  Scenario Outline: An endpoint that leaves or is out of service gets no new work
    Given the plain endpoints desk-a and desk-b
    When <event>
    And 6 lookups are sent
    Then all of them went to desk-b

    Examples:
      | event                                  |
      | desk-a drains                          |
      | the entry of desk-a is removed         |
      | the failure domain of desk-a is out    |

  Scenario: An entry that expired while the store was down is used for two seconds more
    Given the plain endpoints desk-a
    When the store fails and recovers without the entry of desk-a
    And 1.5 seconds go by
    And a lookup is sent
    Then 1 attempts were sent for it
    When 0.6 seconds go by
    And a lookup is sent
    Then 0 attempts were sent for it

  Scenario: An endpoint that refuses connections is retried with exponential backoff
    Given the plain endpoints desk-a
    # Five backoff pauses from 0.5 s to 8 s; after each, at most two queued lookups.
    When its address refuses connections during 10 seconds of lookups
    Then at most 10 attempts reach it

  Scenario: An endpoint whose callers give up without an answer is avoided
    Given the plain endpoints desk-a and desk-b
    When 1 callers of desk-a disconnect after 0.5 seconds without an answer
    And 1 lookups are sent
    Then all of them went to desk-b

  Scenario: A cold engine gets at most this gateway's share of its cold request rate
    Given a cold engine engine-a
    And 4 other gateways
    When 6 summaries are sent
    Then at most 2 attempts reach it within a second

  Scenario: A new engine does not get most of the requests
    Given the engines engine-a, engine-b and engine-c
    And an engine engine-new that has just joined
    When 8 summaries are sent
    Then no engine has more than twice the prompts of another

  Scenario: The load that other gateways report is taken into account
    Given the engines engine-a and engine-b
    And another gateway that reports a prefill backlog of 6000 tokens at engine-a
    When 1 summaries are sent
    Then all of them went to engine-b

  Scenario: A load report that arrives out of order is ignored
    Given the engines engine-a and engine-b
    And another gateway that reports a prefill backlog of 6000 tokens at engine-a
    And an older report of that gateway without load
    When 1 summaries are sent
    Then all of them went to engine-b

  Scenario Outline: Gateways with the same information choose different engines
    Given <n> gateways that know 12 idle engines
    When each of them sends a summary
    Then <least> engines or more run them and <mirrors> or more mirror them

    Examples:
      | n  | least | mirrors |
      | 26 | 8     | 8       |
      | 3  | 1     | 1       |

  Scenario: The load of a new stream and its mirror is reported to other gateways at once
    Given the engines engine-a and engine-b
    And 2 other gateways
    When a summary is sent
    Then each of 2 gateways was told only the loads of engine-a and engine-b

  Scenario: A partial load report leaves the loads of other endpoints unchanged
    Given the engines engine-a and engine-b
    And another gateway that reports a prefill backlog of 9000 tokens at engine-a
    When that gateway reports only a prefill backlog of 5000 tokens at engine-b
    Then the prefill backlog is 9000 tokens at engine-a and 5000 at engine-b
