Feature: Who works next for its client when requests cost much work

  Scenario: Work is granted at once while a pass has units left
    Given a queue that grants 100 units in a pass
    When "a" asks to go on after 60 units
    And "b" asks to go on after 60 units
    Then "a, b" have been granted

  Scenario: The client that caused the least work goes first, whoever asked first
    Given a queue that grants 100 units in a pass
    And "crowd-1" has caused 5000 units
    When "crowd-1" asks to go on after 100 units
    And "crowd-2" asks to go on after 100 units
    And "crowd-1" asks to go on after 100 units
    And "ordinary" asks to go on after 10 units
    And a pass begins
    Then "crowd-1, ordinary, crowd-2" have been granted

  Scenario: Clients with equal work go on in the order in which they asked
    Given a queue that grants 100 units in a pass
    When "a" asks to go on after 100 units
    And "b" asks to go on after 100 units
    And "c" asks to go on after 100 units
    And a pass begins
    And a pass begins
    Then "a, b, c" have been granted

  Scenario: Later passes make up for work that can't be divided
    Given a queue that grants 100 units in a pass
    When "head" asks to go on after 350 units
    And "ordinary" asks to go on after 10 units
    And a pass begins
    And a pass begins
    Then "head" have been granted
    When a pass begins
    Then "head, ordinary" have been granted

  Scenario: A client that has left its turn is passed over and costs nothing
    Given a queue that grants 100 units in a pass
    When "a" asks to go on after 100 units
    And "gone" asks to go on after 100 units
    And "b" asks to go on after 100 units
    And "gone" leaves
    And a pass begins
    Then "a, b" have been granted

  Scenario: The queue needs no more passes once all is granted and made up for
    Given a queue that grants 100 units in a pass
    When "a" asks to go on after 250 units
    And a pass begins
    And a pass begins
    Then the queue is not idle
    When a pass begins
    Then the queue is idle

  Scenario Outline: A thread that waits for its turn goes on at once if it must end
    Given green threads that take turns of 100 units
    And a thread that waits behind 100000 units
    When it is ended by <cause>
    Then it has ended before its turn came

    Examples:
      | cause            |
      | its cancellation |
      | a timeout        |
