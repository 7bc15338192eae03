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
