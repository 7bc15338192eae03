Feature: An endpoint that asks for a pause gets no request until the pause ends

  # Guards against requests that reach an endpoint within the time that the Retry-After
  # of its 503 named (BUDGET).
  @fixture.edge
  Scenario Outline: Nothing is sent to the only endpoint before its pause ends
    Given the <endpoints>
    When <name> asks for a pause of 3 s
    And a <kind> arrives every 100 ms for 2.9 seconds
    Then <name> got 0 requests
    When a <kind> arrives every 100 ms for 0.5 seconds
    Then <name> got at least 1 requests

    Examples:
      | endpoints              | name     | kind    |
      | plain endpoints desk-a | desk-a   | lookup  |
      | plain endpoints desk-a | desk-a   | badge   |
      | engines engine-a       | engine-a | draft   |
      | engines engine-a       | engine-a | summary |

  @fixture.edge
  Scenario Outline: Nothing is sent to the only engine of a load-aware service
    Given the engines engine-a
    When engine-a reports 1.0 for 0.1 seconds
    And engine-a asks for a pause of 3 s
    And a <kind> arrives every 100 ms for 2.8 seconds
    Then engine-a got 0 requests
    When a <kind> arrives every 100 ms for 0.5 seconds
    Then engine-a got at least 1 requests

    Examples:
      | kind    |
      | draft   |
      | summary |

  @fixture.edge
  Scenario: Requests go to the endpoints that did not ask for a pause
    Given the plain endpoints desk-a and desk-b
    When desk-a asks for a pause of 3 s
    And a lookup arrives every 100 ms for 2.9 seconds
    Then desk-a got 0 requests
    And desk-b got at least 28 requests

  @fixture.edge
  Scenario: A refused attempt is not repeated at an endpoint that asked for a pause
    Given the engines engine-a
    When a draft is sent
    And its endpoint asks for a pause of 30 s and refuses it
    And 0.9 seconds go by
    Then 1 attempts were sent for it
    And the request ends as overloaded

  @fixture.edge
  Scenario: An answer of 503 that is no refusal asks for a pause as well
    Given the plain endpoints desk-a
    When a badge is sent
    And its endpoint asks for a pause of 3 s and answers 503
    And a lookup arrives every 100 ms for 2.9 seconds
    Then desk-a got 1 requests

  @fixture.edge
  Scenario: A refusal that asks for no pause is repeated after the usual time
    Given the engines engine-a
    When a draft is sent and the endpoint refuses
    And 0.2 seconds go by
    Then 2 attempts were sent for it

  @fixture.edge
  Scenario Outline: The pause that ends last is kept, whatever comes after
    Given the plain endpoints desk-a
    When desk-a asks for a pause of <first> s
    And 1 seconds go by
    And <next>
    Then the next request reaches desk-a after <left> seconds

    Examples:
      | first | next                                  | left  |
      | 3     | desk-a asks for a pause of 1 s        | 2.0   |
      | 3     | desk-a asks for a pause of 0 s        | 2.0   |
      | 3     | an answer that was under way succeeds | 2.0   |
      | 2     | desk-a asks for a pause of 3 s        | 3.0   |
      | 0.5   | desk-a asks for a pause of 2 s        | 2.0   |
      | 0     | desk-a asks for a pause of 0 s        | 0.0   |

  # Guards against an endpoint that is lost to this gateway by a mistaken value.
  @fixture.edge
  Scenario: A huge pause is bounded
    Given the plain endpoints desk-a
    When desk-a asks for a pause of 999999999 s
    Then the next request reaches desk-a after 600.0 seconds

  @fixture.edge
  Scenario: A new incarnation has no pause, and an answer of the one before sets none
    Given the plain endpoints desk-a
    When desk-a asks for a pause of 60 s
    And desk-a starts anew
    And desk-a asks for a pause of 60 s
    Then the next request reaches desk-a after 0.0 seconds

  @fixture.edge
  Scenario: A pause goes on when the entry of the same incarnation is read again
    Given the plain endpoints desk-a
    When desk-a asks for a pause of 2 s
    And the entry of desk-a is read again
    Then the next request reaches desk-a after 2.0 seconds

  # Guards against callers that wait for what is known not to come, and against a
  # Retry-After of another endpoint's pause than the first to end.
  @fixture.edge
  Scenario: What the pauses outlast is refused at once, with the end of the first pause
    Given the plain endpoints desk-a and desk-b
    When desk-a asks for a pause of 5 s
    And desk-b asks for a pause of 3 s
    And a lookup is sent
    Then the request ends as overloaded
    And the caller is told to come back after 3.0 s, as the endpoints asked for a pause
    And 0 attempts were sent for it

  @fixture.edge
  Scenario: A load-aware service refuses what its pauses outlast, and says why
    Given the engines engine-a
    When engine-a reports 1.0 for 0.1 seconds
    And engine-a asks for a pause of 100 s
    And a summary is sent
    Then the request ends as overloaded
    And the refusal says that the endpoints asked for a pause

  @fixture.edge
  Scenario: A request that waits is refused once a pause outlasts its time
    Given the plain endpoints desk-a
    When desk-a asks for a pause of 0.3 s
    And a lookup is sent
    And 0.1 seconds go by
    Then the request ends as open
    When desk-a asks for a pause of 4 s
    And 0.1 seconds go by
    Then the request ends as overloaded
    And 0 attempts were sent for it

  @fixture.edge
  Scenario Outline: What waits for the end of a pause starts in order of urgency
    Given the engines engine-a
    When engine-a <reports>
    And engine-a asks for a pause of 0.5 s
    And a summary and then a draft, which is more urgent, wait
    Then nothing was sent before the pause ended
    And the draft was sent before the summary

    Examples:
      | reports                      |
      | reports 1.0 for 0.05 seconds |
      | reports no pace              |

  # Guards against a burst at the end of a pause that the endpoint asked for as it had
  # no capacity.
  @fixture.edge
  Scenario: No more requests wait for the end of a pause than the endpoints have slots
    Given the plain endpoints desk-a
    When desk-a asks for a pause of 0.4 s
    And 20 callers send a lookup each
    Then 14 of them are refused at once
    When 0.5 seconds go by
    Then desk-a got 6 requests

  @fixture.edge
  Scenario: After a pause requests wait for capacity before they go to a full endpoint
    Given an engine of one slot that runs a summary
    When engine-a asks for a pause of 1 s
    And a draft is sent
    And 1.2 seconds go by
    Then 0 attempts were sent for it
    When 0.4 seconds go by
    Then 1 attempts were sent for it

  @fixture.edge
  Scenario: The pause of one endpoint does not hide the limit of the other
    Given the plain endpoints desk-a and desk-b
    When desk-a asks for a pause of 5 s
    And desk-b names the limit 1.0 to this gateway
    And 3 callers send a lookup each
    Then 2 of them are refused for the limit and told to come back within 1 s

  # Guards against streams that go on at an engine that wants no request.
  @fixture.edge
  Scenario: A stream does not resume at a mirror that asked for a pause
    Given the engines engine-a and engine-b
    And a summary that got the events 1 to 10
    When its mirror asks for a pause of 5 s
    And its engine breaks the connection
    Then the summary fails as generation_lost
    And its mirror got no request of it

  @fixture.edge
  Scenario: A stream has no mirror at an engine that asked for a pause
    Given the engines engine-a and engine-b
    When engine-b asks for a pause of 5 s
    And a summary is sent
    Then its engine was told of no mirror

  @fixture.edge
  Scenario: No run is copied to an engine that asked for a pause
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And an engine engine-b that has just joined
    When engine-b asks for a pause of 5 s
    And engine-a drains
    And 1 seconds go by
    Then 0 copies were requested

  @fixture.edge
  Scenario: A stream does not resume at the copy's target that asked for a pause
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And an engine engine-b that has just joined
    When engine-a drains
    And the copy's target asks for a pause of 5 s
    And the engine copies its run 3 times
    Then nothing was sent to the copy's target

  @fixture.edge
  Scenario: A stream does not resume at its own engine that asked for a pause
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And an engine engine-b that has just joined
    When engine-a drains
    And engine-a asks for a pause of 5 s
    And the engine copies its run 2 times
    And the engine has stopped its run but could not copy it
    Then engine-a got 1 requests

  # A probe takes a slot, as a request does.
  @fixture.edge
  Scenario: An engine is not probed during its pause
    Given the engines engine-a
    When engine-a reports 1.0 for 0.1 seconds
    And a summary is sent
    And engine-a asks for a pause of 2 s
    And 1.9 seconds go by
    Then between 0 and 0 probes were sent to it
    When 0.5 seconds go by
    Then between 1 and 3 probes were sent to it

  @fixture.platform_world
  Scenario Outline: Retry-After is read from the header of every 503
    Given an endpoint that <verb> with status <status> and Retry-After <text>
    When a caller of the platform sends a badge
    And a caller of the platform sends a badge
    Then the endpoint got <requests>, and the log has <event>

    Examples: of pauses
      | verb    | status | text                            | requests    | event          |
      | refuses | 503    | 5                               | one request | endpoint_pause |
      | refuses | 503    | 2.5                             | one request | endpoint_pause |
      | answers | 503    | 5                               | one request | endpoint_pause |
      | refuses | 503    | 99999999999999999999            | one request | endpoint_pause |
      | refuses | 503    | Sun, 06 Dec 2026 10:00:05 GMT   | one request | endpoint_pause |
      | refuses | 503    | Sunday, 06-Dec-26 10:00:05 GMT  | one request | endpoint_pause |
      | refuses | 503    | Sun Dec  6 10:00:05 2026        | one request | endpoint_pause |

    Examples: of none
      | verb    | status | text                            | requests | event             |
      | refuses | 503    | 0                               | several  | endpoint_pause    |
      | refuses | 503    | Sun, 06 Dec 2026 09:59:05 GMT   | several  | endpoint_pause    |
      | refuses | 503    | -5                              | several  | notice_unreadable |
      | refuses | 503    | 1e3                             | several  | notice_unreadable |
      | refuses | 503    | nan                             | several  | notice_unreadable |
      | refuses | 503    | 5, 10                           | several  | notice_unreadable |
      | refuses | 503    | soon                            | several  | notice_unreadable |
      | refuses | 503    | Sun, 36 Dec 2026 10:00:05 GMT   | several  | notice_unreadable |
      | refuses | 503    |                                 | several  | notice_unreadable |
      | refuses | 429    | 5                               | several  | neither           |
      | answers | 500    | 5                               | several  | neither           |

  @fixture.platform_world
  Scenario: The time to come back is passed on to callers that are refused for a pause
    Given an endpoint that refuses with status 503 and Retry-After 5
    When a caller of the platform sends a badge
    And a caller of the platform sends a badge
    Then it gets status 503
    And it is told that it was not run and to come back after 4 to 5 seconds
