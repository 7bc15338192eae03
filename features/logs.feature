Feature: The log queue is bounded and blocks no caller

  Scenario: Lines that exceed the buffer of a slow reader are dropped and counted
    Given a log queue that writes into a pipe that nobody reads
    When 40000 lines of 100 bytes are queued as warnings
    Then queueing them took less than 5 seconds
    And at most 1048576 bytes are queued
    When the pipe is read to its end
    Then every received line is complete JSON
    And the received lines and those reported as dropped add up to 40000

  Scenario: A burst of decisions is cut to the rate limit
    Given a log queue that writes into a pipe that nobody reads
    When 5000 lines of 100 bytes are queued as decisions
    Then at most 900 of them were kept
    And a warning queued after them is kept
