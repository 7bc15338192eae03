Feature: A stopping gateway takes only what it can finish before it is killed

  @fixture.edge
  Scenario Outline: A request that the kill would cut is refused as not run
    Given the engines engine-a and engine-b
    And the plain endpoints desk-a
    And a process that is killed 8 seconds after it is asked to stop
    When it is asked to stop
    And <wait> seconds go by
    And a request for <request> arrives
    Then it is <outcome>

    Examples:
      | request                 | wait | outcome                      |
      | a summary of 225 events | 0    | refused as draining, not run |
      | a summary of 225 events | 2    | refused as draining, not run |
      | a summary of 3 events   | 0    | sent                         |
      | a summary of 3 events   | 3    | sent                         |
      | a summary of 3 events   | 5.5  | refused as draining, not run |
      | a badge                 | 6    | sent                         |
      | a badge                 | 7.2  | sent                         |
      | a badge                 | 7.4  | refused as draining, not run |

  @fixture.edge
  Scenario Outline: A generation is taken if those seen before would have ended in time
    Given the engines engine-a and engine-b
    And 20 streams, <n> of which had <percent> % of their estimated length, the others 100 %
    And a process that is killed 8 seconds after it is asked to stop
    When it is asked to stop
    And <wait> seconds go by
    And a request for a summary of 225 events arrives
    Then it is <outcome>

    # Events came every 10 ms: 225 take 2.25 s.
    Examples:
      | n  | percent | wait | outcome                      |
      | 0  | 100     | 4    | sent                         |
      | 0  | 100     | 6    | refused as draining, not run |
      | 20 | 50      | 6    | sent                         |
      | 20 | 300     | 0    | sent                         |
      | 20 | 300     | 2    | refused as draining, not run |
      | 5  | 300     | 2    | refused as draining, not run |
      | 1  | 300     | 2    | sent                         |

  @fixture.edge
  Scenario: A request that waits for capacity at the stop is refused at once
    Given an engine of one slot that runs a summary
    And a process that is killed 8 seconds after it is asked to stop
    When a request for a summary of 225 events arrives
    And it is asked to stop
    And 0.1 seconds go by
    Then it is refused as draining, not run

  @fixture.edge
  Scenario: A request that its endpoint refused after the stop is not sent again
    Given the engines engine-a and engine-b
    And a process that is killed 8 seconds after it is asked to stop
    And a summary that was sent
    When it is asked to stop
    And the endpoint refuses the attempt
    Then it is refused as draining, not run

  @fixture.edge
  Scenario Outline: A refused caller comes back when it will reach another gateway
    Given the engines engine-a and engine-b
    And another gateway in <domain> failure domain
    And a process that is killed 8 seconds after it is asked to stop
    And that gets no new connections 2.2 seconds after it is asked to stop
    When it is asked to stop
    And <wait> seconds go by
    And a request for a summary of 225 events arrives
    Then it is refused, to come back after <seconds> seconds

    Examples:
      | domain   | wait | seconds |
      | the same | 0    | 0.05    |
      | the same | 3    | 0.05    |
      | another  | 0    | 2.2     |
      | another  | 1.5  | 0.7     |
      | another  | 3    | 0.05    |
      | no known | 1.5  | 0.7     |

  @fixture.edge
  Scenario: Without a known time of the kill all requests are taken
    Given the engines engine-a and engine-b
    When it is asked to stop
    And a request for a summary of 225 events arrives
    Then it is sent

  @fixture.platform_world
  Scenario Outline: A caller that is refused at a stop is told to come back elsewhere
    Given an endpoint that answers with a whole answer and then closes
    And a gateway that is killed 0.5 seconds after it is asked to stop
    When a badge is posted <order> the stop
    Then it gets status 503, to retry over a new connection, and nothing was run

    Examples:
      | order                       |
      | just after                  |
      | in pieces, before and after |
