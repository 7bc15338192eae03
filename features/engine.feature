Feature: The stand-in engine behaves like an engine under load

  Scenario: A step takes longer with a larger batch
    Given an engine with 1000 tokens of memory
    When 1 generation runs, and then 8 in all
    Then the second step takes longer than the first

  Scenario: Memory that fills while decoding preempts the least urgent, latest first
    Given an engine with 100 tokens of memory
    When generations "first" of priority 3, "urgent" of priority 9 and "last" of priority 3 run until one is preempted
    Then "last" was preempted
    And all three end with all their tokens

  Scenario: Load is reported with a lag
    Given an engine with 1000 tokens of memory
    When 1 generation begins and 0.3 seconds pass
    Then the load report shows 0 running
    When 1.0 seconds pass
    Then the load report shows 1 running

  Scenario: Cache events come late and with gaps
    Given an engine with 1000 tokens of memory
    When prompts with 60 prefixes run
    Then no cache event is published at once
    When 5.0 seconds pass
    Then cache events are published, numbered upwards with gaps

  Scenario: A cold engine handles a small batch and slows down sharply with a large one
    Given an engine that has turned cold
    When 2 generations run there, and then 10 in all
    Then the second step takes at least five times as long as the first

  Scenario: A stream is resumed by id and offset over HTTP
    Given a stand-in engine over HTTP
    When a stream of 20 tokens is cut after 5 and resumed from there
    Then the 20 tokens arrive, each once and in order

  Scenario: A cancelled generation ends without a finish reason
    Given a stand-in engine over HTTP
    When a stream of 20 tokens is cancelled after 5
    Then it ends without a finish reason
