Feature: An endpoint that says in an answer that it leaves gets no new work

  # Guards against requests that reach an endpoint after it has said in an answer that it
  # leaves, while the store is away (DRAIN).
  @fixture.edge
  Scenario Outline: What comes after does not bring the incarnation back
    Given the plain endpoints desk-a and desk-b
    When desk-a starts again under its name
    And an answer of desk-a says that it leaves
    And <news>
    And 6 lookups are sent
    Then all of them went to desk-b

    Examples:
      | news                                                 |
      | 0.1 seconds go by                                    |
      | an answer of desk-a says nothing of it               |
      | desk-a starts again under its name                   |
      | its entry is read again after it was forgotten       |
      | the store was restored and has an entry of it        |

  @fixture.edge
  Scenario: A new incarnation gets work, also after a late answer of the one before
    Given the engines engine-a
    When an answer of engine-a says that it leaves
    And engine-a starts again under its name
    And a late answer of the incarnation before says that engine-a leaves
    Then engine-a still gets new work

  # Guards against a notice that is lost as it comes ahead of the entry.
  @fixture.edge
  Scenario Outline: A notice that comes before the entry of its incarnation is kept
    Given the engines engine-a
    When <notice>
    Then engine-a still gets new work
    When engine-a starts again under its name
    Then engine-a gets no new work

    Examples:
      | notice                                                       |
      | another gateway tells that the next incarnation of engine-a leaves |
      | the next incarnation of engine-a reports that it leaves            |

  # Guards against streams that stay until their engine ends, and gateways that find out
  # one by one.
  @fixture.edge
  Scenario: Its streams move, the other gateways hear of it, and a log line tells why
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    And 2 other gateways
    When an answer of engine-a says that it leaves
    And an answer of engine-a says that it leaves
    And the engine copies its run 3 times
    Then it continues at the other engine from a copy up to event 10
    And 2 gateways were told that engine-a leaves
    And one log line tells which answer said that engine-a leaves

  @fixture.edge
  Scenario: A run is not copied further to an engine that leaves
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And an answer of engine-b says that it leaves
    And the engine copies its run 1 times
    Then 1 copies were requested

  # Guards against callers that wait until their deadline for endpoints that are leaving.
  @fixture.edge
  Scenario Outline: While all endpoints leave, callers are soon refused as not run
    Given the <endpoints>
    When <name> reports <pace>
    And an answer of <name> says that it leaves
    And a <kind> is sent
    And 0.5 seconds go by
    Then the request ends as no_endpoint
    And 0 attempts were sent for it
    And its caller is told to come back after <seconds> s

    Examples:
      | endpoints              | name     | pace                 | kind   | seconds |
      | plain endpoints desk-a | desk-a   | 1.0 for 0.05 seconds | badge  | 0.2     |
      | engines engine-a       | engine-a | no pace              | draft  | 1.0     |
      | engines engine-a       | engine-a | 1.0 for 0.05 seconds | draft  | 1.0     |

  @fixture.platform_world
  Scenario Outline: The header is heard in each answer that is the endpoint's own
    Given an endpoint that leaves and answers <answer>
    When a caller of the platform sends a badge
    Then the gateway <knows> that it leaves

    Examples:
      | answer                           | knows          |
      | with status 200                  | knows          |
      | with status 500                  | knows          |
      | with a refusal                   | knows          |
      | as another endpoint, 421         | does not know  |
      | as another endpoint              | does not know  |
      | with the id of another request   | does not know  |
      | without a signature              | does not know  |
      | with the header twice            | knows          |
      | that it does not leave           | does not know  |
      | with an unreadable value         | does not know  |

  @fixture.platform_world
  Scenario Outline: The header is heard in answers to the gateway's own calls
    Given an endpoint that leaves and answers with status 200
    When a call of the gateway <asks>
    Then the answer tells it that the endpoint leaves

    Examples:
      | asks                   |
      | asks for its report    |
      | probes its health      |
      | orders a copy of a run |

  @fixture.platform_world
  Scenario: The header is heard in the head of a stream
    Given an endpoint that leaves and answers with status 200
    When a caller sends a summary to it
    Then the gateway knows that it leaves
