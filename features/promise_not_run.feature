Feature: When a refusal says that a request was not run, it was not run

  Scenario: An attempt that is cancelled in the queue never runs
    Given a generation at the step received and not admitted
    When caller gone strikes
    And all work comes to its end
    Then every promise holds
    And it was run 0 times

  Scenario: A generation that ran once is never refused as not run
    Given a generation at the step admitted and not begun
    When network parted for 20 s strikes
    And all work comes to its end
    Then every promise holds
    And the answer is unknown

  Scenario Outline: Losing a third of the engines at once makes no storm
    Given a gateway that has served <n_requests> requests a second for a minute
    When a third of the engines dies at once and callers keep sending for a minute
    Then each request was dispatched at most 1.1 times on average

    Examples:
      | n_requests |
      | 7          |
      | 20         |
