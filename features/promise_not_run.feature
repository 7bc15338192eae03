Feature: A request whose refusal says that it was not run was not run

  Scenario: An attempt that is cancelled in the queue never runs
    Given a generation at the step received and not admitted
    When the fault "caller gone" occurs
    And all work is finished
    Then every promise holds
    And the request was run 0 times

  Scenario: A generation that ran once is never refused as not run
    Given a generation at the step admitted and not begun
    When the fault "network parted for 20 s" occurs
    And all work is finished
    Then every promise holds
    And the answer is unknown

  Scenario Outline: Losing a third of the engines at once causes no retry storm
    Given a gateway that has served <n_requests> requests a second for a minute
    When a third of the engines dies at once and callers keep sending for a minute
    Then each request was dispatched at most 1.1 times on average

    Examples:
      | n_requests |
      | 7          |
      | 20         |
