Feature: An accepted configuration reaches every process and never reverts

  @fixture.cut_off_gateway
  Scenario: A gateway that can't reach the table gets changes from its peer
    Given the second gateway can't reach the table
    When operators take "half-way-tree" out
    Then the change is in force at every gateway and sidecar within 3 seconds

  @fixture.cut_off_gateway
  Scenario: A gateway that starts while the table is down takes records from a peer
    Given the table is down
    When a third gateway starts
    Then the third gateway has every record in force within 3 seconds
    And the third gateway answers a completion

  @fixture.cut_off_gateway
  Scenario: A failure domain is taken out and brought back
    When operators take "half-way-tree" out
    And operators bring "half-way-tree" back
    Then the change is in force at every gateway and sidecar within 3 seconds
    And every endpoint takes new work again

  Scenario: Late, duplicated, reordered or incomplete pushes never revert a record
    Then 200 random orders of pushes end with the newest records in force
