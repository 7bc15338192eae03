@fixture.processes
Feature: Both programs tell what they do in the terms of Prometheus

  Scenario: The gateway measures calls, tokens and refusals
    Given a stream of 12 tokens and a call with a wrong key went through
    When the gateway's metrics are read
    Then requests are counted as "summaries" "ok" and as "" "unauthenticated"
    And 12 tokens, 1 first token and the gaps between them are counted for "summaries"
    And the gauges tell nothing in flight, 1 peer and a configuration in force
    And names and units follow the conventions
    And no label names a team, a request or an attempt

  Scenario: The sidecar measures what its endpoint does
    Given a stream of 12 tokens and a call with a wrong key went through
    When the sidecar's metrics are read
    Then an attempt of "summaries" is counted as "ok" with its first token
    And names and units follow the conventions
    And no label names a team, a request or an attempt
