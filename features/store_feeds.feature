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
