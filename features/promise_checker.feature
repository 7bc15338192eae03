Feature: The checker detects every broken promise

  Scenario Outline: <violation> is caught
    When a history shows <violation>
    Then the checker reports only "<promise>"

    Examples:
      | violation                        | promise                            |
      | a token twice                    | each token once and in order       |
      | a token missing                  | each token once and in order       |
      | tokens out of order              | each token once and in order       |
      | tokens of two generations        | a single generation                |
      | a token of another request       | the caller's own answer            |
      | the answer of another request    | the caller's own answer            |
      | an end before the last token     | the whole answer                   |
      | a caller without an answer       | the whole answer                   |
      | a refusal of a request that ran  | not run means not run              |
      | a badge issue run twice          | at most once                       |
      | two badge issues with one key    | at most once                       |
      | new work where the domain is out | no new work while out or leaving   |
      | a cold endpoint over its limit   | a cold endpoint's limit            |
      | a request cut off by a stop      | a planned stop cuts nothing        |
      | a configuration that reverts     | configuration never reverts        |

  Scenario: A history without a fault passes
    When a history shows nothing wrong
    Then the checker reports nothing
