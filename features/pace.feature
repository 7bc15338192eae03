Feature: Prompts are placed by the pace that engines report

  @fixture.edge
  Scenario Outline: A prompt avoids an engine whose machine is slow and that has streams
    Given a stream with events every 40 ms at each of engine-a and engine-b
    When paces of <a> at engine-a and <b> at engine-b were reported <age> seconds ago
    And a caller of the gateway sends a summary
    Then the summary was sent to <chosen>

    # Two steps in one take 80 ms; 2.5 times that is over the allowed 180 ms.
    Examples:
      | a    | b    | age  | chosen   |
      | 1.0  | 2.5  | 0.0  | engine-a |
      | 2.5  | 1.0  | 0.0  | engine-b |
      | 2.5  | 1.0  | 0.4  | engine-b |
      | 1.0  | 2.5  | 0.7  | engine-b |

  @fixture.edge
  Scenario: A prompt waits a moment while it would make streams late everywhere
    Given a stream with events every 40 ms at each of engine-a and engine-b
    When paces of 2.5 at engine-a and 2.5 at engine-b were reported 0.0 seconds ago
    And a caller of the gateway sends a summary
    Then the summary was sent to nobody yet
    When a pace of 1.0 is reported by engine-b
    And 0.05 seconds go by
    Then the summary was sent to engine-b

  @fixture.edge
  Scenario: A prompt does not wait for longer than a part of its own target
    Given a stream with events every 40 ms at each of engine-a and engine-b
    When paces of 2.5 at engine-a and 2.5 at engine-b were reported 0.0 seconds ago
    And a caller of the gateway sends a summary
    And both engines go on to report 2.5 for 0.5 seconds
    Then the summary was sent to some engine

  @fixture.edge
  Scenario: A slow engine without streams still gets prompts that are on time there
    Given the engines engine-a
    When a pace of 2.5 is reported by engine-a
    And a caller of the gateway sends a summary
    Then the summary was sent to engine-a

  @fixture.edge
  Scenario: A pace of an earlier incarnation is not used
    Given the engines engine-a
    When a pace of 2.5 is reported by an earlier incarnation of engine-a
    Then the gateway takes the pace of engine-a for 1.0

  @fixture.edge
  Scenario: Without a reported pace the least loaded engine is chosen as before
    Given a stream with events every 40 ms at each of engine-a and engine-b
    Then both policies give a summary the same cost at each engine

  @fixture.platform_world
  Scenario Outline: The pace is read from the header of every answer
    Given an endpoint whose answer has the load <text> and status <status>
    When a caller of the platform sends a badge
    Then the gateway knows the pace <pace>
    And <logged> line tells of an unreadable notice

    Examples:
      | text             | status | pace | logged |
      | 3,0,24,250       | 200    | 2.5  | no     |
      | 3, 0, 24, 130    | 500    | 1.3  | no     |
      | 3,0,24,100       | 503    | 1.0  | no     |
      | 3,0,24,250       | 421    | none | no     |
      | 3,0,24           | 200    | none | no     |
      | 3,0,24,-250      | 200    | none | one    |
      | 3,0,24,0         | 200    | none | one    |
      | 3,0,24,99999     | 200    | none | one    |
      | 3,0,24,9999999999 | 200   | none | one    |
      | 3,0,24,1e2       | 200    | none | one    |
      | 3,0,24,nan       | 200    | none | one    |
      | 3,0,24,250,1     | 200    | none | one    |
      | 250              | 200    | none | one    |

  @fixture.edge
  Scenario Outline: Prompts of other gateways count until the engine has read them
    Given the engines engine-a
    And engine-a has read 10000 prompt tokens a second
    When a pace of 1.0 is reported by engine-a
    And other gateways report the prompt tokens <reports> at engine-a
    Then <n> tokens await prefill there <after> seconds after the first report

    # A report is gateway:seconds:tokens; "!" marks one that arrives late.
    Examples:
      | reports                 | after | n    |
      | 2:0.0:3000              | 0.1   | 2000 |
      | 2:0.0:3000              | 0.5   | 0    |
      | 2:0.0:3000 2:0.1:6000   | 0.4   | 2000 |
      | 2:0.0:3000 3:0.0:3000   | 0.4   | 2000 |
      | 2:0.0:6000 2:0.2:3000   | 0.2   | 1000 |
      | 2:0.0:3000 2:0.1:0      | 0.1   | 0    |
      | 2:0.0:3000 2:0.1:0 2!0.1:3000 | 0.1 | 0 |
      | 2:0.0:90000             | 1.9   | 71000 |
      | 2:0.0:90000             | 2.1   | 0    |
      | 9:0.0:3000              | 0.1   | 0    |

  @fixture.edge
  Scenario: Slowness is told to the other gateways once in its lifetime
    Given the engines engine-a
    And 3 other gateways
    When a pace of 1.0 is reported by engine-a
    Then 0 datagrams tell of a pace
    When a pace of 2.5 is reported by engine-a
    And a pace of 2.5 is reported by engine-a
    Then 3 datagrams tell of a pace
    When 0.7 seconds go by
    And a pace of 2.5 is reported by engine-a
    Then 6 datagrams tell of a pace

  @fixture.edge
  Scenario Outline: Datagrams on the pace stay within the bytes of a gateway
    Given the engines engine-a
    And <n> other gateways
    When engine-a reports paces of 2.5 and 1.0 in turn for 60 seconds
    Then the datagrams on the pace took at most 1100 bytes a second

    Examples:
      | n   |
      | 44  |
      | 339 |

  @fixture.edge
  Scenario Outline: A pace that another gateway tells counts from when it was read
    Given the engines engine-a
    And 2 other gateways
    When <gateway> tells a pace of <factor> of incarnation <born>, <age> seconds old
    Then the gateway takes the pace of engine-a for <taken>

    Examples:
      | gateway   | factor | born | age  | taken |
      | gateway-2 | 2.5    | 0    | 0.2  | 2.5   |
      | gateway-2 | 2.5    | 0    | 0.7  | 1.0   |
      | gateway-2 | 2.5    | 1    | 0.2  | 1.0   |
      | gateway-2 | 2.5    | 0    | -3.0 | 1.0   |
      | gateway-2 | -2.5   | 0    | 0.2  | 1.0   |
      | gateway-2 | 1e9    | 0    | 0.2  | 1.0   |
      | gateway-9 | 2.5    | 0    | 0.2  | 1.0   |

  Scenario Outline: One gateway probes an endpoint that runs something
    Given 5 gateways that know engine-a, on which gateway 0 runs a stream
    And engine-a has reported a pace once
    When 3 seconds go by for all gateways with answered probes, <fault>
    Then between <least> and <most> probes were requested in the last second
    And they were requested by one gateway

    # Probes are due after 0.25 s, at ticks of 0.05 s.
    Examples:
      | fault                                       | least | most |
      | and nothing fails                           | 3     | 4    |
      | and then 4 without the gateway that probes  | 3     | 4    |
      | and it returns after 4 without              | 3     | 4    |

  @fixture.edge
  Scenario: An endpoint that answers no probe is probed less and less often
    Given the engines engine-a
    When a pace of 1.0 is reported by engine-a
    And its stream runs for 20 seconds without answered probes
    Then between 5 and 10 probes were sent to it

  @fixture.edge
  Scenario Outline: Endpoints that need no probe get none
    Given the engines engine-a
    When a pace of 1.0 is reported by engine-a
    And for 2 seconds <state>
    Then no probe was requested

    Examples:
      | state                                        |
      | it runs nothing                              |
      | it runs a stream and reports with responses  |
      | it drains while it runs a stream                  |

  @fixture.edge
  Scenario Outline: Figures that measured gaps contradict are not used
    Given a stream with events every 40 ms at each of engine-a and engine-b
    When engine-a reports <reported> for <n> events, one every <ms> ms
    Then the gateway takes the pace of engine-a for <taken>
    And its figures are <trust>

    Examples:
      | reported | n   | ms  | taken | trust       |
      | 2.5      | 100 | 40  | 1.0   | distrusted  |
      | 2.5      | 100 | 100 | 2.5   | trusted     |
      | 1.0      | 100 | 80  | 1.0   | trusted     |
      | 2.5      | 10  | 40  | 2.5   | trusted     |

  @fixture.edge
  Scenario: An engine that is always slow and reports a usual pace gets no prompt
    Given a stream with events every 40 ms at each of engine-a and engine-b
    When engine-b reports 1.0 for 100 events, one every 140 ms
    And a caller of the gateway sends a summary
    Then the summary was sent to engine-a

  @fixture.platform_world
  Scenario: An endpoint that runs something is probed on its health path
    Given an endpoint whose answer has the load 3,0,24,250 and status 200
    When a caller of the platform sends a badge
    And another gateway runs something at the endpoint
    Then the endpoint is asked for its health path within 2 seconds

  @fixture.edge
  Scenario Outline: Where machines are often slow, prompts go where few streams run
    Given a stream with events every 40 ms at each of engine-a and engine-b
    When engine-a and engine-b report 2.5 in <n_slow> of 40 figures and 1.0 at last
    And another gateway runs 6 streams at engine-a and 2 longer ones at engine-b
    And a caller of the gateway sends a summary
    Then the summary was sent to <chosen>

    Examples:
      | n_slow | chosen   |
      | 0      | engine-a |
      | 12     | engine-b |

  @fixture.edge
  Scenario: A prompt that others ahead make late does not wait in vain
    Given the engines engine-a
    And engine-a has read 3000 prompt tokens a second
    When a pace of 1.0 is reported by engine-a
    And other gateways report the prompt tokens 2:0.0:3000 at engine-a
    And a caller of the gateway sends a summary
    Then the summary was sent to engine-a
