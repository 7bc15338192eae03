Feature: The operators' deployment comes into force however large it is and however it was missed

  @fixture.edge
  Scenario: Each failed call of an outage is logged, at most one a second
    Given the plain endpoints desk-a
    When calls of the operator feed fail every 0.25 s for 3 s with 4096 bytes received
    Then the log tells 1 store_lost and 2 store_call_failed
    And each of these tells version 5 and 4096 bytes

  @fixture.edge
  Scenario: The log tells how long a deployment took to be in force
    Given the plain endpoints desk-a
    When version 2 comes into force 0.75 s after the store's answer began
    Then the log tells that it was applied after 0.75 s

  @fixture.platform_world
  Scenario Outline: A deployment that arrives slowly after an outage comes into force
    Given version 8 with <before> routes is in force over a link of <rate> KB/s
    When version 9 with <after> routes is written in an outage of the store
    Then version 9 is in force within <seconds> s of the store's return

    Examples:
      | before | after | rate | seconds |
      | 10     | 900   | 150  | 4       |
      | 900    | 910   | 150  | 4       |
      | 10     | 900   | 60   | 9       |

  @fixture.platform_world
  Scenario Outline: A gateway that missed a storm reads the newest deployment only
    Given version 8 with 100 routes is in force over a link of 200 KB/s
    When <n> versions with 100 routes are written in an outage of the store
    Then the last of them is in force within 2 s of the store's return

    Examples:
      | n  |
      | 20 |
      | 80 |

  @fixture.platform_world
  Scenario: A gateway keeps up with a storm that its link can't carry whole
    Given version 8 with 100 routes is in force over a link of 200 KB/s
    When a storm writes a version with 100 routes every 0.05 s for 6 s
    Then the version in force was never more than 1.5 s old

  @fixture.platform_world
  Scenario: A storm that is read in time is read as changes
    Given version 8 with 100 routes is in force over a link of 100000 KB/s
    When a storm writes a version with 100 routes every 0.05 s for 1 s
    Then the version in force was never more than 0.5 s old
    And no whole table was read meanwhile

  Scenario Outline: A response that goes on arriving is not given up
    Given a server whose body of 40 pieces comes every 0.1 s
    When it is read by the <client>
    Then the read succeeds

    Examples:
      | client        |
      | table service |
      | host list     |

  Scenario Outline: A response that stops arriving is given up
    Given a server that sends <part> and then nothing
    When it is read by the platform's client
    Then the read fails within 1.5 s

    Examples:
      | part          |
      | nothing       |
      | a head        |
      | half a body   |

  Scenario: A response that was cut at its time limit gets more time at the next call
    Given a server whose body of 50 pieces comes every 0.1 s
    When it is read again and again by the platform's client
    Then at most 3 reads failed

  @fixture.platform_world
  Scenario: What callers hold does not cost a gateway its deployment
    Given version 8 with 10 routes is in force over a link of 100000 KB/s
    And messages of others that fill the budget
    When version 9 with 900 routes is written in an outage of the store
    Then version 9 is in force within 4 s of the store's return

  Scenario Outline: Only the newest readable deployment of an answer is put in force
    Given an answer with the versions <versions> of the deployment
    When the operators' rows are decoded
    Then only version <version> is passed on

    Examples:
      | versions           | version |
      | 8, 9 and 10        | 10      |
      | 8, 9 and malformed | 9       |

  Scenario Outline: An endpoint is gone only if its newest row in an answer is removed
    Given an answer in which desk-a is <rows>
    When the endpoints' rows are decoded
    Then <gone> of its endpoints are gone

    Examples:
      | rows                                  | gone |
      | removed                               | 1    |
      | ready and then removed                | 1    |
      | removed and then ready                | 0    |
      | removed and then malformed            | 1    |
      | ready, removed and ready              | 0    |
      | removed, ready and removed            | 1    |
