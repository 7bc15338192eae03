Feature: A store that comes back from an older copy takes nothing back

  @fixture.platform_world
  Scenario Outline: A change written below a version that was read is not missed
    Given version 8 is in force and the store keeps a copy
    And version 9 is in force after <before> other changes
    When the store is away and comes back from its copy
    And version 10 and <after> other changes are written before any gateway asks
    Then version 10 comes into force

    Examples:
      | before | after |
      | 0      | 0     |
      | 0      | 30    |
      | 20     | 5     |
      | 20     | 100   |

  @fixture.platform_world
  Scenario: A gateway writes its row anew at once
    Given the gateway has written its row 3 times
    And version 8 is in force and the store keeps a copy without gateways
    When the store is away and comes back from its copy
    Then the gateway's row is there within 2 seconds

  @fixture.platform_world
  Scenario: A gateway that starts on the copy is not ready before the store has recovered
    Given version 8 is in force and the store keeps a copy
    And version 9 is in force after 0 other changes
    When the store is away and comes back from its copy
    And the gateway starts anew
    Then it is not ready for 1.5 seconds
    And it is ready within 5 seconds

  @fixture.edge
  Scenario: A withdrawn key that the copy has is not in force where the copy is read first
    Given a gateway that reads the copy of a store in era 2
    When a lookup is sent
    Then the request ends as platform_unavailable
    When the store withdraws the key in version 3
    And 2.5 seconds go by
    And the store confirms the operators' rows
    And a lookup is sent
    Then the request ends as unauthenticated

  @fixture.edge
  Scenario: An answer right after a restore does not confirm the keys
    Given the plain endpoints desk-a
    And keys stay valid for 5 seconds without a confirmation
    When 4 seconds go by
    And the store is restored
    And the store confirms the operators' rows
    And 1.5 seconds go by
    And a lookup is sent
    Then the request ends as platform_unavailable
    When 1 seconds go by
    And the store confirms the operators' rows
    And a lookup is sent
    Then 1 attempts were sent for it

  @fixture.edge
  Scenario Outline: A deployment that was written anew is confirmed at once
    Given the plain endpoints desk-a
    And keys stay valid for 5 seconds without a confirmation
    When 4 seconds go by
    And the store is restored
    And the operators write version 1 anew as change <revision>
    And 1.5 seconds go by
    And a lookup is sent
    Then <n> attempts were sent for it

    Examples:
      | revision | n |
      | 0        | 0 |
      | 21       | 1 |

  @fixture.edge
  Scenario: A failure domain that is out stays out until the store has recovered
    Given the plain endpoints desk-a
    When the failure domain of desk-a is out
    And the store is restored
    And the copy has no failure domain that is out
    Then desk-a gets no requests
    When 2.1 seconds go by
    And the store confirms the operators' rows
    Then desk-a gets requests

  @fixture.edge
  Scenario: An endpoint that the copy lacks is kept until the store has recovered
    Given the plain endpoints desk-a and desk-b
    When the store is restored
    And the copy has only the entry of desk-a
    Then desk-b gets requests
    When 2.1 seconds go by
    Then desk-b gets no requests

  @fixture.edge
  Scenario Outline: An endpoint that has left is not used again for its entry in the copy
    Given the plain endpoints desk-a and desk-b
    When the entry of desk-b is removed
    And the store is restored
    And the copy has the entries of desk-a and desk-b
    Then desk-b gets no requests
    When <next>
    Then desk-b gets <some>

    Examples:
      | next                            | some        |
      | 2.1 seconds go by               | no requests |
      | its entry is written anew       | requests    |
      | 5.1 seconds go by               | requests    |
      | the entry of desk-b is removed and 6 seconds go by | no requests |

  @fixture.edge
  Scenario: A deployment with the same version and other content is put in force
    Given the plain endpoints desk-a
    When the store is restored
    And version 1 with no route is deployed
    And a lookup is sent
    Then the request ends as unknown_route

  @fixture.edge
  Scenario: Other gateways that go on are counted although their rows are gone
    Given 2 other gateways
    And another gateway that reports a prefill backlog of 10 tokens at desk-a
    When the store lists only this gateway
    Then 2 gateways share the limits
    When 3 seconds go by
    And the store lists only this gateway
    Then 1 gateways share the limits

  @fixture.platform_standins
  Scenario: An answer of an earlier era is refused after one of a later era
    Given a store client that has seen era 2
    When the store answers of era 1
    Then the read fails

  @fixture.platform_standins
  Scenario: Pages of two eras are not joined to one table
    Given a table of 700 rows
    When the store is restored after its first page is read
    Then the read fails

  @fixture.platform_standins
  Scenario: A row that was read before a restore is not removed by its version
    Given a table of 1 rows
    When the table is read, the store restored and the row removed
    Then the row is there
