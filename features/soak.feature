Feature: Real processes keep the promises while they are harmed

  Scenario Outline: Faults that a seed draws
    When seed <seed> is soaked for <seconds> seconds of faults
    Then the soak found nothing broken

    Examples:
      | seed | seconds |
      | 11   | 6       |
      | 12   | 6       |

  Scenario: Seeds that broke a promise once
    When the kept seeds are soaked
    Then the soak found nothing broken
