@fixture.operator
Feature: Settings are checked before a program starts

  Background:
    Given the record file "gateway.yaml"
      """
      program: gateway
      name: gateway-1
      failure_domain: cross-roads
      listen: 127.0.0.1:8101
      table: http://127.0.0.1:9100
      log_level: INFO
      """
    And the record file "sidecar.yaml"
      """
      program: sidecar
      name: scribe-1
      failure_domain: cross-roads
      listen: 127.0.0.1:7101
      endpoint: http://127.0.0.1:9101
      protocol: generation
      """

  Scenario: Valid settings pass
    When the operator runs "settings check {folder}/gateway.yaml {folder}/sidecar.yaml"
    Then the exit code is 0
    And standard output contains "sidecar.yaml: valid"

  Scenario Outline: An error names file, line, field, what was given and what is allowed
    Given in "<file>.yaml" the text "<found>" is replaced by "<replaced>"
    When the operator runs "settings check {folder}/<file>.yaml"
    Then the exit code is 3
    And the only error is at "<file>.yaml:<line>" in "<field>", given "<given>"
    And standard error contains "<allowed>"

    Examples:
      | file    | found                  | replaced                 | line | field         | given           | allowed                          |
      | gateway | program: gateway       | program: gatway          | 1    | program       | gatway          | one of gateway, sidecar          |
      | gateway | name: gateway-1        | name: Gateway            | 2    | name          | Gateway         | name of the process, unique      |
      | gateway | listen: 127.0.0.1:8101 | listen: host:8101        | 4    | listen        | host:8101       | address:port                     |
      | gateway | listen: 127.0.0.1:8101 | listen: 8101             | 4    | listen        | 8101            | text (where callers connect      |
      | gateway | table: http:           | table: ftp:              | 5    | table         | ftp://127.0.0.1:9100 | URL that begins with http:// |
      | gateway | log_level: INFO        | log_level: info          | 6    | log_level     | info            | one of DEBUG, INFO, WARNING      |
      | gateway | log_level: INFO        | log_levl: INFO           | 6    | log_levl      | INFO            | did you mean log_level?          |
      | gateway | log_level: INFO        | name: b                  | 6    | name          | the field twice | each field once                  |
      | sidecar | endpoint: http         | listn: x // endpoint: http | 5  | listn         | x               | did you mean listen?             |
      | sidecar | protocol: generation   | protocol: [generation]   | 6    | protocol      | ["generation"]  | one of generation, http          |
      | sidecar | protocol: generation   | log_level: INFO          | 1    | protocol      |                 | the field is required            |

  Scenario Outline: A file that holds no settings is named
    Given the file "other.yaml" holds <content>
    When the operator runs "settings check {folder}/other.yaml"
    Then the exit code is 3
    And standard error contains "other.yaml"
    And standard error contains "<text>"

    Examples:
      | content               | text                                  |
      | an open bracket       | node content                          |
      | a list                | given [1, 2]; allowed: a mapping      |
      | nothing               | given 0 documents; allowed: one YAML  |
      | two documents         | given 2 documents; allowed: one YAML  |

  Scenario Outline: A program does not start on bad settings or secrets
    Given the peer key is "<key>"
    When the operator runs "<command>"
    Then the exit code is 3
    And standard error contains "<text>"

    Examples:
      | key                    | command                                   | text                                   |
      | fifteen-chars-x        | gateway --config {folder}/gateway.yaml    | HAWTHORNYARD_PEER_KEY: given 15 char   |
      | fifteen-chars-x        | sidecar --config {folder}/sidecar.yaml    | HAWTHORNYARD_PEER_KEY: given 15 char   |
      | fifteen-chars-x        | settings check --secrets {folder}/gateway.yaml | at least 16 characters            |
      | long-enough-for-a-test | gateway --config {folder}/sidecar.yaml    | program: given sidecar; allowed: gateway |
      | long-enough-for-a-test | sidecar --config {folder}/gateway.yaml    | program: given gateway; allowed: sidecar |
      | long-enough-for-a-test | gateway --config {folder}/absent.yaml     | absent.yaml: given No such file        |
      | long-enough-for-a-test | settings schema planner                   | one of gateway, sidecar                |

  Scenario: The schema of settings is printed for editors
    When the operator runs "settings schema sidecar"
    Then the exit code is 0
    And the JSON output has "sidecar" at "properties.program.const"
