@fixture.wide_processes
Feature: Promises hold when real processes are killed, frozen and stopped

  Scenario: The gateway is killed in the middle of a stream
    Given a caller that has read 5 tokens of a stream of 40
    When "gateway" is killed
    And the caller reconnects at the other gateway
    Then the caller has every token once and in order, from one generation
    And the engine has run 1 generation

  Scenario: Both gateways are killed, one after the other, on one stream
    Given a caller that has read 5 tokens of a stream of 60
    When "gateway" is killed
    And the caller reconnects at the other gateway and reads 5 more tokens
    And "gateway" is started again
    And "other_gateway" is killed
    And the caller reconnects at the first gateway
    Then the caller has every token once and in order, from one generation
    And the engine has run 1 generation

  Scenario: The gateway is frozen while the caller reconnects elsewhere, then resumed
    Given a caller that has read 5 tokens of a stream of 40
    When "gateway" is frozen
    And the caller reconnects at the other gateway
    And "gateway" is resumed
    Then the caller has every token once and in order, from one generation
    And the engine has run 1 generation

  Scenario: The sidecar is frozen until its connection is closed, then resumed
    Given a caller that has read 5 tokens of a stream of 40
    When "sidecar" is frozen
    And the gateway closes the silent connection
    And "sidecar" is resumed
    And the caller reads the rest of the stream
    Then the caller has every token once and in order, from one generation
    And the engine has run 1 generation

  Scenario: The sidecar is killed in the middle of a stream
    Given a caller that has read 5 tokens of a stream of 40
    When "sidecar" is killed
    And the caller reads the rest of the stream
    Then the stream ends with the error "generation_lost" and the number of tokens delivered
    And the engine has run 1 generation

  Scenario: The engine is killed in the middle of a stream
    Given a caller that has read 5 tokens of a stream of 40
    When "engine" is killed
    And the caller reads the rest of the stream
    Then the stream ends with the error "generation_lost" and the number of tokens delivered

  Scenario: The table is killed in the middle of a stream
    Given a caller that has read 5 tokens of a stream of 40
    When "table" is killed
    And the caller reads the rest of the stream
    Then the caller has every token once and in order, from one generation
    And a badge issue is refused as "platform_unavailable", not run
    And the service has run 0 calls

  Scenario: The gateway is killed while a badge issue runs
    Given a caller whose badge issue runs
    When "gateway" is killed
    And the caller sends the badge issue again at the other gateway
    Then the second issue is answered with "key_in_progress" and may have run
    And the service has run 1 call

  Scenario: The sidecar is killed while a badge issue runs
    Given a caller whose badge issue runs
    When "service_sidecar" is killed
    Then the badge issue is answered with "outcome_unknown" and may have run
    And the service has run 1 call
