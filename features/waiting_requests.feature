Feature: A request that waits for capacity is sent once, and on time

  Scenario: An item whose wait ends during a search of the queue is not kept and removed
    Given a queue of 3 items
    When a condition discards the first at once and the others if asked again
    Then each item is either removed or still queued

  @fixture.edge
  Scenario: A summary whose wait ends during a search of the queue is sent once
    Given an engine of one slot that runs a summary
    And 40 summaries that wait for it while each reading of the clock takes 1 ms
    When 2 seconds go by
    Then each summary was sent once

  @fixture.edge
  Scenario: A second attempt of a request is refused while the first one runs
    Given the engines engine-a and engine-b
    And a summary that was sent
    When the same request is routed again
    Then the chain reports the first attempt
    And 1 attempts were sent for it

  Scenario: An attempt at a sidecar is not replaced by a second one
    Given a gateway request that has an attempt
    When a second attempt of it begins
    Then the error names the first attempt

  Scenario: A filter that fails in a tick does not keep it from the others
    Given a chain of a filter that fails, one that fails after passing on, and a recorder
    When a tick enters the chain
    Then the recorder gets the tick once
    And both errors are raised

  Scenario: A message whose handling fails does not drop the next one
    Given a chain of a filter that emits 3 numbers and one that fails at the first
    When a tick enters the chain
    Then the last filter gets all 3 numbers
