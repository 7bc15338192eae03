@fixture.edge
Feature: An endpoint that has left gets no work, however late a gateway learns of it

  Scenario Outline: An entry removed during a cut is given up two seconds after the last failed call
    Given the plain endpoints desk-a and desk-b
    When a call of the endpoints feed fails after <waited> seconds
    And 0.25 seconds go by
    And the store answers without the entry of desk-a
    And <left> seconds go by
    And 6 lookups are sent
    Then all of them went to desk-b

    Examples:
      | waited | left |
      | 0.25   | 1.55 |
      | 1      | 0.8  |
      | 6      | 0.05 |

  Scenario: An entry removed after the store's return is given up at once
    Given the plain endpoints desk-a and desk-b
    When a call of the endpoints feed fails after 1 seconds
    And the endpoints feed is answered
    And 3 seconds go by
    And the store answers without the entry of desk-a
    And 6 lookups are sent
    Then all of them went to desk-b

  Scenario Outline: An older entry brings back no endpoint that has said it leaves
    Given the engines engine-a
    When <notice>
    And an older entry of engine-a says that it is ready
    Then engine-a gets no new work

    Examples:
      | notice                               |
      | engine-a reports that it leaves      |
      | another gateway tells that engine-a leaves |
      | engine-a drains                      |

  Scenario: A new incarnation of an endpoint that has left gets work
    Given the engines engine-a
    When engine-a reports that it leaves
    And engine-a starts again under its name
    Then engine-a still gets new work

  Scenario: An endpoint whose entry was absent for a while gets work again
    Given the plain endpoints desk-a
    When the entry of desk-a is removed
    And the entry of desk-a is back
    Then desk-a still gets new work

  Scenario Outline: A hung call for the changes of endpoints is given up while a gateway is out of touch
    Given a feed of endpoints that must know of changes <contact> seconds after a disturbance
    When the table is read and changes once
    Then each of its calls ends within <longest> seconds

    Examples:
      | contact | longest |
      | 3       | 2.5     |
      | 5       | 4.5     |

  Scenario: A store that accepts no connection is given up soon enough to notice its return
    Given a store that accepts no connection
    When its endpoints are read
    Then the read fails within 0.5 seconds
