Feature: What reads bytes or rows raises only errors of the closed list

  Scenario Outline: Drawn bytes and altered documents are read or refused
    When drawn and altered inputs are given to the reader of <input>
    Then it raises no error outside the closed list

    Examples:
      | input             |
      | deployments       |
      | endpoint entries  |
      | reports           |
      | claims            |
      | streams of events |
      | frames            |
      | settings          |
