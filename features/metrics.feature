@fixture.processes
Feature: The gateway and the sidecar expose Prometheus metrics

  Scenario: The gateway measures calls, tokens and refusals
    Given a finished stream of 12 tokens and a call refused for a wrong key
    When the gateway's metrics are read
    Then requests are counted as "summaries" "ok" and as "" "unauthenticated"
    And 12 tokens, 1 first token and the gaps between them are counted for "summaries"
    And the gauges show nothing in flight, 1 peer and a configuration in force
    And metric names and units follow the Prometheus conventions
    And no label names a team, a request or an attempt

  Scenario: The sidecar measures the attempts at its endpoint
    Given a finished stream of 12 tokens and a call refused for a wrong key
    When the sidecar's metrics are read
    Then an attempt of "summaries" is counted as "ok" with its first token
    And metric names and units follow the Prometheus conventions
    And no label names a team, a request or an attempt
