Feature: Real processes keep the promises while faults are injected

  Scenario Outline: Faults are drawn from a seed
    When the soak runs with seed <seed> and <seconds> seconds of faults
    Then the soak reports no broken promise

    Examples:
      | seed | seconds |
      | 11   | 6       |
      | 12   | 6       |

  Scenario: Prompts that end endpoints are added to the faults of a seed
    When the soak runs with seed 13, 6 seconds of faults and a deadly part
    Then the soak reports no broken promise

  Scenario: Seeds that once found a broken promise are run again
    When the soak runs with the kept seeds
    Then the soak reports no broken promise
