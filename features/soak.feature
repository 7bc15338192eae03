Feature: Real processes keep the promises while they are harmed

  Scenario Outline: Faults that a seed draws
    When the soak runs with seed <seed> and <seconds> seconds of faults
    Then the soak reports no broken promise

    Examples:
      | seed | seconds |
      | 11   | 6       |
      | 12   | 6       |

  Scenario: Seeds that broke a promise once
    When the soak runs with the kept seeds
    Then the soak reports no broken promise
