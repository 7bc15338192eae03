Feature: Prompts are placed by the pace that engines report

  @fixture.edge
  Scenario Outline: A prompt avoids an engine whose machine is slow and that has streams
    Given a stream with events every 40 ms at each of engine-a and engine-b
    When paces of <a> at engine-a and <b> at engine-b were reported <age> seconds ago
    And a caller of the gateway sends a summary
    Then the summary was sent to <chosen>

    # Two steps in one take 80 ms; 2.5 times that is over the allowed 180 ms.
    Examples:
      | a   | b   | age | chosen   |
      | 1.0 | 2.5 | 0.0 | engine-a |
      | 2.5 | 1.0 | 0.4 | engine-b |
      | 1.0 | 2.5 | 0.7 | engine-b |

  @fixture.edge
  Scenario Outline: A prompt waits a moment, for at most a part of its target
    Given a stream with events every 40 ms at each of engine-a and engine-b
    When paces of 2.5 at engine-a and 2.5 at engine-b were reported 0.0 seconds ago
    And a caller of the gateway sends a summary
    Then the summary was sent to nobody yet
    When engine-b reports <b> for <seconds> seconds
    Then the summary was sent to <chosen>

    Examples:
      | b   | seconds | chosen     |
      | 1.0 | 0.05    | engine-b   |
      | 2.5 | 0.4     | nobody yet |
      | 2.5 | 0.5     | engine-b   |

  @fixture.edge
  Scenario: Without a reported pace the least loaded engine is chosen as before
    Given a stream with events every 40 ms at each of engine-a and engine-b
    Then both policies give a summary the same cost at each engine

  @fixture.edge
  Scenario Outline: Engines take prompts until they are full with longest responses
    Given the engines engine-a
    When a pace of 1.0 is known of engine-a, of whose memory others hold <tokens> tokens
    And a caller of the gateway sends a summary
    Then the summary was sent to <chosen>

    # The memory is 34,000 tokens and the summary takes 3,900.
    Examples:
      | tokens | chosen     |
      | 30100  | engine-a   |
      | 30101  | nobody yet |

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
  Scenario Outline: Figures that measured gaps contradict are not used
    Given a stream with events every 40 ms at each of engine-a and engine-b
    When engine-b reports <reported> for <n> events, one every <ms> ms
    Then the gateway takes the pace of engine-b for <taken>
    When a caller of the gateway sends a summary
    Then the summary was sent to <chosen>

    # An engine that is always slow and reports a usual pace is known by its gaps.
    Examples:
      | reported | n   | ms  | taken | chosen   |
      | 2.5      | 100 | 40  | 1.0   | engine-b |
      | 2.5      | 100 | 100 | 2.5   | engine-a |
      | 2.5      | 10  | 40  | 2.5   | engine-a |
      | 1.0      | 100 | 140 | 1.0   | engine-a |

  @fixture.platform_world
  Scenario Outline: The pace is read from the header of every answer
    Given an endpoint whose answer has the load <text> and status <status>
    When a caller of the platform sends a badge
    Then the gateway knows the pace <pace>, and <logged> unreadable notice

    Examples:
      | text              | status | pace | logged |
      | 3,0,24,250        | 200    | 2.5  | no     |
      | 3, 0, 24, 130     | 500    | 1.3  | no     |
      | 3,0,24,100        | 503    | 1.0  | no     |
      | 3,0,24,250        | 421    | none | no     |
      | 3,0,24            | 200    | none | no     |
      | 3,0,24,-250       | 200    | none | one    |
      | 3,0,24,0          | 200    | none | one    |
      | 3,0,24,99999      | 200    | none | one    |
      | 3,0,24,9999999999 | 200    | none | one    |
      | 3,0,24,1e2        | 200    | none | one    |
      | 3,0,24,250,1      | 200    | none | one    |
      | 3,0,24,nan        | 200    | none | one    |
      | 250               | 200    | none | one    |

  @fixture.platform_world
  Scenario: An endpoint that runs something is probed on its health path
    Given an endpoint whose answer has the load 3,0,24,250 and status 200
    When a caller of the platform sends a badge
    And another gateway runs something at the endpoint
    Then the endpoint is asked for its health path within 2 seconds

  @fixture.edge
  Scenario Outline: Prompts of other gateways count until the engine has read them
    Given the engines engine-a
    When engine-a, which reads 10000 prompt tokens a second, reports a pace
    And other gateways report the prompt tokens <reports> at engine-a
    Then <n> tokens await prefill there <after> seconds after the first report

    # A report is gateway:seconds:tokens; "!" marks one that arrives late.
    Examples:
      | reports                       | after | n     |
      | 2:0.0:3000                    | 0.1   | 2000  |
      | 2:0.0:3000                    | 0.5   | 0     |
      | 2:0.0:3000 2:0.1:6000         | 0.4   | 2000  |
      | 2:0.0:3000 3:0.0:3000         | 0.4   | 2000  |
      | 2:0.0:6000 2:0.2:3000         | 0.2   | 1000  |
      | 2:0.0:3000 2:0.1:0 2!0.1:3000 | 0.1   | 0     |
      | 2:0.0:90000                   | 1.9   | 71000 |
      | 2:0.0:90000                   | 2.1   | 0     |
      | 9:0.0:3000                    | 0.1   | 0     |

  @fixture.edge
  Scenario Outline: Slowness is told to the others once in its lifetime, within bounds
    Given the engines engine-a
    And <n> other gateways
    When engine-a reports <first> for 0.3 seconds
    Then <told> datagrams of at most 83 bytes tell of a pace

    Examples:
      | n   | first | told |
      | 3   | 1.0   | 0    |
      | 3   | 2.5   | 3    |
      | 339 | 2.5   | 72   |

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
      | gateway-9 | 2.5    | 0    | 0.2  | 1.0   |

  Scenario: Gateways with the same paces choose different engines
    Given 45 gateways that know 25 idle engines
    And all of them know a pace of 1.0 of each
    When each of them sends a summary
    Then 18 engines or more run them and 8 or more mirror them

  Scenario Outline: One gateway probes an endpoint that runs something
    Given 5 gateways that know engine-a, on which gateway 0 runs a stream
    When 3 seconds go by for all gateways with answered probes, <fault>
    Then between 3 and 4 probes were requested in the last second, by one gateway

    # Probes are due after 0.25 s, at ticks of 0.05 s.
    Examples:
      | fault                                      |
      | and nothing fails                          |
      | and then 4 without the gateway that probes |
      | and it returns after 4 without             |

  @fixture.edge
  Scenario Outline: An endpoint is probed only as often as it needs
    Given the engines engine-a
    When engine-a reports 1.0 for 0.05 seconds
    And for 20 seconds it <state>
    Then between <least> and <most> probes were sent to it

    Examples:
      | state                                | least | most |
      | runs nothing                         | 0     | 0    |
      | runs a stream, with responses        | 0     | 0    |
      | runs a stream, leaving               | 0     | 0    |
      | runs a stream and answers no probe   | 5     | 10   |
