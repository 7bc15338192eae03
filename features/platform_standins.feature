@fixture.platform_standins
Feature: Stand-ins for the systems of the users' platform

  Scenario: Rows are read in pages, sorted by key
    Given a stand-in store with 1200 rows in no order
    When the table is read
    Then all 1200 rows are there in order, after 3 calls

  Scenario: A change ends a long poll, and a removal is reported
    Given a stand-in store with the rows a and b
    When row a is removed during a long poll for changes
    Then the changes report only the removal of a

  Scenario: A write whose condition fails changes nothing
    Given a stand-in store with the rows a and b
    When row a is removed on the condition of an earlier version
    Then the rows are a and b

  Scenario: Changes from before the kept history are not available
    Given a stand-in store with the rows a
    When the store discards its history of changes
    Then the changes since the start are no longer available

  Scenario: A stream that is stopped after a copy resumes elsewhere
    Given the stand-in engines engine-a and engine-b
    When a stream of 30 events is begun at engine-a
    And its run is copied to engine-b and stopped after some events
    Then its stream is cut off before its last event
    And the stream resumes at engine-b with the next event and runs to event 30

  Scenario: A copy can be used once
    Given the stand-in engines engine-a and engine-b
    When a stream of 30 events is begun at engine-a
    And its run is copied to engine-b and stopped after some events
    And the copy is used
    Then the copy is refused as not run

  Scenario: A mirrored stream can be resumed at its mirror
    Given the stand-in engines engine-a and engine-b
    When a stream of 30 events, mirrored at engine-b, is begun at engine-a
    Then the mirror can resume the stream after event 4

  Scenario Outline: A stand-in endpoint answers according to its mode
    Given the stand-in engines engine-a and engine-b
    When the mode of engine-a is set to <mode>
    Then a plain request to engine-a ends with <end>

    Examples:
      | mode    | end          |
      | sound   | 200          |
      | failing | 500          |
      | full    | 503, not run |
      | mute    | no answer    |

  Scenario: An engine reports that it is leaving
    Given the stand-in engines engine-a and engine-b
    When the engine engine-a is told to leave
    Then its report says that it is leaving
