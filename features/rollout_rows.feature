Feature: Rollouts are read from and written to the platform's store

  Scenario Outline: A row of an order is decoded, or its fault is told
    Then the order row <row> gives <result>

    Examples:
      | row                                              | result         |
      | {"service": "desk", "to": "v2", "duration_s": 9} | an order       |
      | {"service": "shop", "to": "v2", "duration_s": 9} | 'service'      |
      | {"service": "desk", "to": "v2"}                  | 'duration_s'   |
      | {"service": "desk", "to": "v2", "duration_s": -1}| 'duration_s'   |
      | {"service": "desk", "to": "v2", "duration_s": "9"}| 'duration_s'  |
      | {"service": "desk", "to": 2, "duration_s": 9}    | 'to'           |
      | []                                               | not an object  |
      | {                                                | invalid JSON   |

  Scenario: A state that is written is read again as it was
    Then each phase of a rollout survives its row

  Scenario: Frames about a rollout are decoded as they were encoded
    # Guards against a field whose type the codec refuses at the receiver.
    Then the frames about a rollout survive the codec

  Scenario Outline: Bounds in the settings turn rollouts on
    Then the bounds <bounds> give <result>

    Examples:
      | bounds                                                           | result     |
      | {}                                                               | none       |
      | {"expose_share": 0.1, "expose_slack": 50, "rollback_ms": 5000}   | 0.1,50,5   |
      | {"expose_share": 1.5}                                            | an error   |
      | {"expose_share": "x"}                                            | an error   |

  Scenario Outline: A gateway carries out an order from the store
    # Guards against a translation that loses a version, a condition or a frame.
    Given a gateway of the platform before old endpoints and new ones that give <status>
    When the operator writes the order row {"service": "desk", "to": "v2", "duration_s": 4}
    And callers send badges until the operator's row says that it is over
    Then the operator's row is exactly <state> to v2
    And the rollout command tells <state>

    Examples:
      | status | state       |
      | 200    | succeeded   |
      | 500    | rolled_back |

  Scenario: Without an order the table of rollouts is not called
    Given a gateway of the platform before old endpoints and new ones that give 200
    When callers send badges for 1 seconds
    Then the store got no call about rollouts and both versions got badges

  Scenario: A write whose response is of an older state is refused
    Given a gateway of the platform before old endpoints and new ones that give 200
    Then a conditional write is refused after another one, and in another era
