Feature: Gateways detect failed endpoints over a bounded number of connections

  Scenario: A sidecar sends heartbeats every second to a gateway with work in flight
    Given a sidecar whose gateway asked for heartbeats every 60 seconds
    When an attempt runs for 10 seconds without a token
    Then the gateway was sent at least 9 heartbeats

  Scenario: Tokens take the place of heartbeats
    Given a sidecar whose gateway asked for heartbeats every 60 seconds
    When an attempt runs for 10 seconds with a token every 0.1 seconds
    Then the gateway was sent at most 1 heartbeat

  Scenario: A connection that is silent while work is outstanding is replaced
    Given a gateway with one endpoint
    When a request is dispatched and its endpoint is silent for 4 seconds
    Then the connection is suspected within 3.6 seconds

  Scenario: An idle connection is not suspected
    Given a gateway with one endpoint
    When nothing is dispatched and its endpoint is silent for 10 seconds
    Then the connection is not suspected

  Scenario Outline: A gateway links to a bounded subset, spread over failure domains
    Given <n_endpoints> endpoints of 12 models in 6 failure domains
    Then each gateway links to at most <n_links> of them
    And each model is linked in <n_domains> failure domains
    And removing one endpoint changes at most 1 other link

    Examples:
      | n_endpoints | n_links | n_domains |
      | 600         | 96      | 6         |
      | 72          | 72      | 6         |

  Scenario: A gateway with many links asks each for fewer heartbeats
    Given a gateway with 96 links
    Then it subscribes to at most 10 heartbeats a second in total

  Scenario: A caller that reconnects makes a gateway without a link open one
    Given a gateway with no link to the endpoint
    When a caller reconnects to a generation at that endpoint
    Then the gateway requests a link to that endpoint
    And the gateway opens no link to an endpoint without a record
