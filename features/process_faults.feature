@fixture.wide_processes
Feature: Promises hold when real processes are killed, frozen and stopped

  Scenario: The gateway is killed in the middle of a stream
    Given a caller that has read 5 tokens of a stream of 40
    When "gateway" is killed
    And the caller comes back at the other gateway
    Then it has every token once and in order, from one generation
    And the engine has run 1 generation

  Scenario: Both gateways are killed, one after the other, on one stream
    Given a caller that has read 5 tokens of a stream of 60
    When "gateway" is killed
    And the caller comes back at the other gateway and reads 5 tokens more
    And "gateway" is started again
    And "other_gateway" is killed
    And the caller comes back at the first gateway
    Then it has every token once and in order, from one generation
    And the engine has run 1 generation

  Scenario: The gateway is frozen while the caller goes on elsewhere, then wakes
    Given a caller that has read 5 tokens of a stream of 40
    When "gateway" is frozen
    And the caller comes back at the other gateway
    And "gateway" is woken
    Then it has every token once and in order, from one generation
    And the engine has run 1 generation

  Scenario: The sidecar is frozen until its connection is given up, then wakes
    Given a caller that has read 5 tokens of a stream of 40
    When "sidecar" is frozen
    And the gateway gives the silent connection up
    And "sidecar" is woken
    And the caller reads on
    Then it has every token once and in order, from one generation
    And the engine has run 1 generation

  Scenario: The sidecar is killed in the middle of a stream
    Given a caller that has read 5 tokens of a stream of 40
    When "sidecar" is killed
    And the caller reads on
    Then its stream ends with the error "generation_lost" and tells what it got
    And the engine has run 1 generation

  Scenario: The engine is killed in the middle of a stream
    Given a caller that has read 5 tokens of a stream of 40
    When "engine" is killed
    And the caller reads on
    Then its stream ends with the error "generation_lost" and tells what it got

  Scenario: The table is killed in the middle of a stream
    Given a caller that has read 5 tokens of a stream of 40
    When "table" is killed
    And the caller reads on
    Then it has every token once and in order, from one generation
    And a badge issue is refused as "platform_unavailable", not run
    And the service has run 0 calls

  Scenario: The gateway is killed while a badge issue runs
    Given a caller whose badge issue runs
    When "gateway" is killed
    And the caller sends the badge issue again at the other gateway
    Then it is told "key_in_progress", and not that it was not run
    And the service has run 1 call

  Scenario: The sidecar is killed while a badge issue runs
    Given a caller whose badge issue runs
    When "service_sidecar" is killed
    Then the caller is told "outcome_unknown", and not that it was not run
    And the service has run 1 call
