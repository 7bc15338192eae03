@fixture.platform_standins
Feature: Stand-ins for the systems of the users' platform

  Scenario: Rows are read in pages, in order of their keys
    Given a stand-in store with the rows c, a and b
    When the table is read
    Then the rows are a, b and c

  Scenario: A change ends the wait for it, and a removal is told
    Given a stand-in store with the rows a and b
    When row a is removed while the changes are waited for
    Then the changes tell that a is gone and nothing else

  Scenario: A condition that does not hold changes nothing
    Given a stand-in store with the rows a and b
    When row a is removed on the condition of an earlier version
    Then the rows are a and b

  Scenario: History that is gone has to be read anew
    Given a stand-in store with the rows a
    When the store forgets its history
    Then changes since the start are no longer known

  Scenario: A stream that is stopped for its copy goes on elsewhere
    Given the stand-in engines engine-a and engine-b
    When a stream of 30 events is begun at engine-a
    And its run is copied to engine-b and stopped after some events
    Then its stream ended without an end
    And it goes on at engine-b with the event after its last one, to number 30

  Scenario: A copy is used once
    Given the stand-in engines engine-a and engine-b
    When a stream of 30 events is begun at engine-a
    And its run is copied to engine-b and stopped after some events
    And the copy is used
    Then the copy is refused as not run

  Scenario: A mirrored stream goes on where it was mirrored
    Given the stand-in engines engine-a and engine-b
    When a stream of 30 events, mirrored at engine-b, is begun at engine-a
    Then the mirror can go on after event 4

  Scenario Outline: How a stand-in endpoint behaves
    Given the stand-in engines engine-a and engine-b
    When engine-a is told to be <mode>
    Then a plain request to it ends as <end>

    Examples:
      | mode    | end          |
      | sound   | 200          |
      | failing | 500          |
      | full    | 503, not run |
      | mute    | no answer    |

  Scenario: An engine reports that it leaves
    Given the stand-in engines engine-a and engine-b
    When engine-a is told that it leaves
    Then its report says so
