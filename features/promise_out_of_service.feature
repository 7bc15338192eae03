Feature: Endpoints out of service or leaving get no new work after a few seconds

  Scenario Outline: Queued work does not begin in a failure domain that is out of service
    Given a <kind> at the step received and not admitted
    When the fault "failure domain out" occurs
    And all work is finished
    Then every promise holds
    And the answer is whole

    Examples:
      | kind        |
      | generation  |
      | badge issue |

  Scenario Outline: Queued work does not begin at an endpoint that is leaving
    Given a <kind> at the step received and not admitted
    When an endpoint with queued work is told to leave
    And all work is finished
    Then every promise holds
    And the answer is whole

    Examples:
      | kind        |
      | generation  |
      | badge issue |

  Scenario: A gateway cut off from the platform sends nothing to a failure domain out of service
    Given a generation at the step mid-stream
    When operators take its failure domain out of service, and its gateway cannot read the change
    And all work is finished
    Then every promise holds
    And the answer is whole
