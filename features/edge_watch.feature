@fixture.edge
Feature: Engines are asked whether they leave while the store is unavailable

  Scenario: A stream is copied when its engine reports that it leaves
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When the endpoints feed of the store fails
    And 0.3 seconds go by
    And engine-a reports that it leaves
    And the engine copies its run 3 times
    Then it continues at the other engine from a copy up to event 10

  Scenario Outline: Engines are asked for reports when the store fails or is silent
    Given the engines engine-a and engine-b
    When <trouble>
    And <seconds> seconds go by
    Then the engines <asked> were asked for reports

    Examples:
      | trouble                               | seconds | asked                 |
      | the endpoints feed of the store fails | 0.3     | engine-a and engine-b |
      | the operator feed of the store fails  | 0.3     | engine-a and engine-b |
      | the store is silent                   | 1.6     | none                  |
      | the store is silent                   | 1.8     | engine-a and engine-b |
      | the store fails and answers again     | 1.4     | none                  |

  Scenario: Plain endpoints and leaving engines are not asked for reports
    Given the engines engine-a and engine-b
    And the plain endpoints desk-a
    When engine-a drains
    And the endpoints feed of the store fails
    And 0.3 seconds go by
    Then the engines engine-b were asked for reports

  Scenario Outline: Gateways share the polling of engines
    Given a gateway with the random seed 1
    And the engines engine-a
    And <n> other gateways
    When the endpoints feed of the store fails
    And 10 seconds go by
    Then at most <most> and at least <least> reports were requested

    Examples:
      | n  | least | most |
      | 0  | 30    | 41   |
      | 4  | 12    | 15   |
      | 25 | 9     | 11   |

  Scenario: Other gateways are notified once that an engine leaves
    Given the engines engine-a
    And 2 other gateways
    When engine-a reports that it leaves
    And engine-a reports that it leaves
    Then 2 gateways were told that engine-a leaves

  Scenario: A leaving notice from another gateway is acted on
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When another gateway tells that engine-a leaves
    And the engine copies its run 3 times
    Then it continues at the other engine from a copy up to event 10

  Scenario Outline: Only a report that this incarnation leaves stops new work
    Given the engines engine-a
    And 2 other gateways
    When <news>
    Then engine-a still gets new work
    And 0 gateways were told that engine-a leaves

    Examples:
      | news                                                                |
      | another incarnation of engine-a reports that it leaves              |
      | another gateway tells that another incarnation of engine-a leaves    |
      | engine-a reports that it stays                                      |

  Scenario Outline: Of many gateways a few read the feed often and notify the others
    Given the engines engine-a
    And <n> other gateways heard from, <heard> of them before this one by name
    When engine-a drains
    Then <told> gateways were told that engine-a leaves
    And it waits at most <pause> seconds between reads of changes

    Examples:
      | n  | heard | told | pause |
      | 25 | 0     | 25   | 0.3   |
      | 25 | 2     | 25   | 0.3   |
      | 25 | 3     | 0    | 1.5   |
      | 4  | 3     | 0    | 0.2   |

  Scenario: Other gateways take over from feed readers that fall silent
    Given the engines engine-a
    And 25 other gateways heard from, 3 of them before this one by name
    When 2.5 seconds go by
    And engine-a drains
    Then 25 gateways were told that engine-a leaves

  Scenario: Gateways that lose the store at the same time do not poll in step
    Given 3 gateways that start together and know an engine
    When all of them lose the store and 10 seconds go by
    Then no two of them asked for reports at the same times

  Scenario: The return of a silent store is noticed within a second
    Given 1 feeds of one table with waits of 5 seconds
    And the store is silent during the second poll of each feed
    When the table is read and changes once
    Then the poll after it does not wait for changes and fails within 0.75 seconds
    And the next one waits for changes again

  Scenario: Feeds woken by the same change do not poll in step afterwards
    Given 3 feeds of one table with waits of 10 seconds
    When the table is read and changes once
    Then the waits that follow the change differ, and those after them do not
