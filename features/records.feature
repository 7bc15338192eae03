@fixture.operator
Feature: Errors in records name the place and what is allowed

  Background:
    Given the record file "context.yaml"
      """
      kind: failure_domain
      schema: 1
      name: cross-roads
      spec: {region: kingston}
      ---
      kind: model
      schema: 1
      name: scribe
      spec: {context_tokens: 8192}
      """
    And the record file "endpoint.yaml"
      """
      kind: endpoint
      schema: 1
      name: scribe-1
      spec:
        failure_domain: cross-roads
        sidecar: 127.0.0.1:7101
        protocol: generation
        models: [scribe]
        initial_limit: 2
      """

  Scenario: Valid files are accepted
    When the operator validates the folder
    Then the exit code is 0
    And standard output contains "3 records are valid"

  Scenario Outline: An error names file, line, field, what was given and what is allowed
    Given in "endpoint.yaml" the text "<found>" is replaced by "<replaced>"
    When the operator validates the folder
    Then the exit code is 3
    And the only error is at "endpoint.yaml:<line>" in "<field>", given "<given>"
    And standard error contains "<allowed>"

    Examples:
      | found                   | replaced                | line | field               | given           | allowed                                          |
      | kind: endpoint          | kind: endpiont          | 1    | kind                | endpiont        | did you mean endpoint?                           |
      | kind: endpoint          | kind: [endpoint]        | 1    | kind                | ["endpoint"]    | one of service, failure_domain, endpoint         |
      | schema: 1               | schema: 7               | 2    | schema              | 7               | a schema from 1 to 1 for endpoint                |
      | schema: 1               | schema: 1.0             | 2    | schema              | 1.0             | a schema from 1 to 1 for endpoint                |
      | schema: 1               | schema: true            | 2    | schema              | true            | a schema from 1 to 1 for endpoint                |
      | name: scribe-1          | name: Scribe 1          | 3    | name                | Scribe 1        | lower-case letters, digits and hyphens           |
      | name: scribe-1          | name: a // name: b      | 4    | name                | the field twice | each field once                                  |
      | 127.0.0.1:7101          | localhost:7101          | 6    | spec.sidecar        | localhost:7101  | address:port of its sidecar, with an IP address  |
      | sidecar:                | protocl: x // sidecar:  | 6    | spec.protocl        | x               | did you mean protocol?                           |
      | protocol: generation    | leaving: false          | 4    | spec.protocol       |                 | the field is required: generation for            |
      | protocol: generation    | protocol: generations   | 7    | spec.protocol       | generations     | one of generation, http; did you mean generation |
      | models: [scribe]        | models: scribe          | 8    | spec.models         | scribe          | a list (model records that it can serve)         |
      | models: [scribe]        | models: [a, a]          | 8    | spec.models         | ["a", "a"]      | a list without repeated items                    |
      | models: [scribe]        | models: [scrbe]         | 8    | spec.models.0       | scrbe           | the name of a model record; there are: scribe    |
      | failure_domain: cross   | failure_domain: half    | 5    | spec.failure_domain | half-roads      | there are: cross-roads                           |
      | initial_limit: 2        | initial_limit: two      | 9    | spec.initial_limit  | two             | a whole number                                   |
      | initial_limit: 2        | initial_limit: 0        | 9    | spec.initial_limit  | 0               | at least 1                                       |
      | initial_limit: 2        | initial_limit: 99       | 9    | spec.initial_limit  | 99              | at most max_limit, which is 32                   |
      | [scribe]                | &a [scribe] // x: *a    | 9    | spec.x              | an alias        | the value itself, written out                    |

  Scenario Outline: A file that can't be read is named
    Given the file "other.yaml" holds <content>
    When the operator validates the folder
    Then the exit code is 3
    And standard error contains "other.yaml"
    And standard error contains "given <given>"

    Examples:
      | content               | given                   |
      | an open bracket       | did not find expected node |
      | bytes that are no text | other bytes            |
      | a deep nesting        | exceeded maximum nesting depth |
      | too many bytes        | a file over 16777216 bytes |
      | a list                | [1, 2]                  |
      | an infinite number    | .inf                    |

  Scenario: A missing file and an empty folder are named
    When the operator runs "records validate {folder}/absent.yaml"
    Then the exit code is 3
    And standard error contains "absent.yaml: given No such file"
    When the operator runs "records validate {folder}/nothing"
    Then the exit code is 3

  Scenario: A record that stands twice in a change is named with both places
    Given the record file "later.yaml"
      """
      kind: model
      schema: 1
      name: scribe
      spec: {context_tokens: 4096}
      """
    When the operator validates the folder
    Then the exit code is 3
    And standard error contains "later.yaml:3: name: given scribe"
    And standard error contains "context.yaml:6"

  Scenario: Errors are printed as JSON on request
    Given in "endpoint.yaml" the text "schema: 1" is replaced by "schema: 7"
    When the operator runs "records validate {folder} --output json"
    Then the exit code is 3
    And the JSON output has "schema" at "problems.0.field"
    And the JSON output has 2 at "problems.0.line"

  Scenario: Both schema versions of a service can be used side by side
    Given the record file "services.yaml"
      """
      kind: service
      schema: 1
      name: checks
      spec: {protocol: http, class: check, non_idempotent_paths: [/enrolments]}
      ---
      kind: service
      schema: 2
      name: drafts
      spec: {protocol: generation, models: [scribe], priority: 2}
      """
    When the operator applies the folder
    Then the exit code is 0
    And the table keeps "service/checks" in schema 1
    And a catalog that reads the table has service "checks" with priority 6
    And in that catalog a POST to "/enrolments/7" of service "checks" may run at most once
    And a catalog that reads the table has service "drafts" with priority 2

  Scenario: A process that doesn't know a record's schema keeps the last version it understood
    Given the operator applied the folder
    When a newer program writes "model/scribe" in schema 9
    Then a catalog that followed the table still has the model with 8192 tokens
    And that catalog reports "model/scribe" as not understood
    And that catalog is at the revision of the newer program's write
    When the operator's record "model/scribe" is written again with 4096 tokens
    Then that catalog has the model with 4096 tokens and reports no record

  Scenario: The configuration page names every field
    Then docs/CONFIGURATION.md names every field of every record schema
    And docs/CONFIGURATION.md names every setting, environment variable and exit code

  Scenario: The defaults in the schemas are the ones that are applied
    Then a record with all defaults written out equals one without them
