Feature: A clone of the repository needs nothing from outside it

  Scenario Outline: A tracked link is refused if it leaves the repository
    Given a repository that tracks a link in "docs" to <target>
    When its links are checked
    Then <n> links are refused

    Examples:
      | target              | n |
      | a folder of a host  | 1 |
      | a folder beside it  | 1 |
      | another file of it  | 0 |
