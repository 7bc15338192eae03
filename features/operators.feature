@fixture.operator
Feature: Operators change and inspect a deployment through the command line

  Background:
    Given the record file "base.yaml"
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
      ---
      kind: endpoint
      schema: 1
      name: scribe-1
      spec:
        failure_domain: cross-roads
        sidecar: 127.0.0.1:7101
        protocol: generation
        models: [scribe]
      """

  Scenario: A change is previewed, accepted once and listed in the history
    When the operator runs "records diff {folder}"
    Then the exit code is 0
    And standard output contains "3 records to write, 0 unchanged"
    When the operator runs "records apply {folder} --author maria -m first"
    Then the exit code is 0
    And 3 records are accepted by 1 change
    When the operator runs "records apply {folder}"
    Then the exit code is 0
    And standard output contains "Nothing to change."
    And 3 records are accepted by 1 change
    Given in "base.yaml" the text "8192" is replaced by "4096"
    When the operator runs "records apply {folder} --output json"
    Then the JSON output has 2 at "change.revision"
    And the JSON output has 1 at "change.records.0.before"
    When the operator runs "records history model/scribe --output json"
    Then the JSON output has "update" at "0.records.0.action"
    And the JSON output has "maria" at "1.author"
    And the JSON output has "first" at "1.message"
    When the operator runs "records get model/scribe --output json"
    Then the JSON output has 4096 at "document.spec.context_tokens"

  Scenario: One invalid record makes the whole change fail
    Given in "base.yaml" the text "protocol: generation" is replaced by "protocol: carrier"
    When the operator runs "records apply {folder}"
    Then the exit code is 3
    And 0 records are accepted by 0 changes

  Scenario: A record can be retired once no record references it
    Given the operator applied the folder
    When the operator runs "records retire model/scribe"
    Then the exit code is 3
    And standard error contains "endpoint/scribe-1 references it in spec.models.0"
    And 3 records are accepted by 1 change
    When the operator runs "records retire model/scribe endpoint/scribe-1"
    Then the exit code is 0
    And 1 records are accepted by 2 changes
    And a catalog that follows the table holds no endpoint
    When the operator runs "records retire model/scribe"
    Then the exit code is 3
    And standard error contains "model/scribe: allowed: a record that is accepted now"
    When the operator applies the folder
    Then the exit code is 0
    And 3 records are accepted by 3 changes

  Scenario: A change based on an older revision is refused and the error names the newer change
    Given the operator applied the folder
    And another operator "pedro" took "cross-roads" out of service with the message "switch"
    When the operator runs "records apply {folder} --base 1"
    Then the exit code is 4
    And standard error contains "by pedro"
    And standard error contains "failure_domain/cross-roads"
    And standard error contains the identifier of the other change
    And 3 records are accepted by 2 changes

  Scenario Outline: A change takes effect at most once, and its operator learns the outcome
    Given the operator applied the folder
    And in "base.yaml" the text "8192" is replaced by "4096"
    And at the next write <fault>
    When the operator runs "records apply {folder} --author maria"
    Then the exit code is <code>
    And the change of "maria" was accepted <n_times> times
    And standard error contains "<told>"

    Examples:
      | fault                                        | code | n_times | told                  |
      | nothing fails                                | 0    | 1       |                       |
      | the reply is lost                            | 0    | 1       |                       |
      | the reply and the read back are lost         | 0    | 1       |                       |
      | the write is lost                            | 0    | 1       |                       |
      | two writes are lost                          | 0    | 1       |                       |
      | the write arrives late, before the retry     | 0    | 1       |                       |
      | the write arrives late, after the retry      | 0    | 1       |                       |
      | another change comes first                   | 4    | 0       | by pedro              |
      | the write is lost, then another change comes | 4    | 0       | by pedro              |
      | the reply is lost, then another change comes | 0    | 1       |                       |
      | three writes and the last reply are lost     | 0    | 1       |                       |
      | the table goes down before the write         | 5    | 0       | accepted is not known |
      | the table goes down after the write          | 5    | 1       | accepted is not known |

  Scenario: A row that was written outside of changes is a conflict
    Given the operator applied the folder
    And in "base.yaml" the text "8192" is replaced by "4096"
    And at the next write another program writes the record's row
    When the operator runs "records apply {folder}"
    Then the exit code is 4
    And standard error contains "a write outside of changes: record/model/scribe"

  Scenario: A change of unknown outcome can be looked up later
    Given the operator applied the folder
    And in "base.yaml" the text "8192" is replaced by "4096"
    And at the next write the table goes down after the write
    When the operator runs "records apply {folder} --author maria"
    And the table is up again
    And the operator follows the advice in the error
    Then the exit code is 0
    And standard output contains "update   model/scribe"

  Scenario: Concurrent changes form a linear history
    Given the operator applied the folder
    When 8 operators change the same record at once, each retrying until accepted
    Then 9 changes are accepted, each based on the previous one
    And the record holds the value of the last change

  Scenario Outline: With the table down a command reports it and changes nothing
    Given the operator applied the folder
    And the operator's table is down
    When the operator runs "<command>"
    Then the exit code is 5
    And standard error contains "table service"

    Examples:
      | command                         |
      | records diff {folder}           |
      | records apply {folder}          |
      | records retire endpoint/scribe-1 |
      | records get                     |
      | records history                 |
      | records validate {folder} --table {table} |
      | records get --table http://127.0.0.1:1 |

  Scenario Outline: An invalid command is refused
    When the operator runs "<command>"
    Then the exit code is <code>
    And standard error contains "<text>"

    Examples:
      | command                    | code | text                                  |
      | records aply x             | 2    | aply                                  |
      | records apply              | 2    | PATHS                                 |
      | records get --output xml   | 2    | xml                                   |
      | status                     | 2    | --gateway                             |
      | records get nodes          | 3    | one of service, failure_domain        |
      | records get model/absent   | 3    | no record of this name                |
      | records retire model       | 3    | kind/name                             |
      | records history --change x | 3    | no change of this identifier          |
      | records schema service 3   | 3    | 1 to 2 for service                    |
      | team-key Bad               | 3    | lower-case letters                    |
      | explain r-1 {folder}/no.log | 1   | no.log                                |

  Scenario: A team key is created with the hash for its record
    When the operator runs "team-key harbour-offices --output json"
    Then the exit code is 0
    And the key matches its hash and names the team "harbour-offices"

  @fixture.kingston
  Scenario: Applying a change with --wait ends when it is in force everywhere
    Given the operator works on the running deployment
    When a failure domain of the deployment is taken out of service with --wait
    Then the exit code is 0
    And standard output contains "In force at all"
    And the status shows the accepted revision at 2 gateways and 4 sidecars
    And the status shows the sidecars of that failure domain as not accepting
    When the failure domain is brought back into service with --wait and a stopped gateway
    Then the exit code is 6
    And standard error contains "http://127.0.0.1:1"

  @fixture.kingston
  Scenario: The status lists endpoints whose heartbeats no gateway receives
    Given the operator works on the running deployment
    And an endpoint "scribe-9" has a record and is not running
    When the operator asks for the status
    Then the exit code is 0
    And standard output contains "sidecar of scribe-9"
    And standard output contains "not heard"
    And standard output contains "Accepted revision: "
    When the table of the deployment is down
    And the operator asks for the status
    Then the exit code is 5
    And standard output contains "gateway gateway-1"
    And standard output contains "table service"

  @fixture.kingston
  Scenario: A request is explained from the decision log
    Given the decision log is recorded
    When a caller sends request "r-77" and another one
    And the operator explains "r-77"
    Then the exit code is 0
    And the explanation names the endpoint that answered "r-77"
    And the explanation lists the gateway's routing decision, then the admission

  Scenario: A request that was retried is explained in order of time
    Given a decision log of a request that was tried twice
    When the operator runs "explain r-9 {folder}/sidecar.log {folder}/gateway.log"
    Then the exit code is 0
    And standard output contains "Request r-9 was sent to: scribe-1, then scribe-2."
    And standard error contains "1 lines skipped: not a JSON object"
    When the operator runs "explain r-9 {folder}/sidecar.log {folder}/gateway.log --output json"
    Then the JSON output has "route" at "decisions.0.event"
    And the JSON output has "attempt 1 failed (overloaded); tried again" at "decisions.1.sentence"
    And the JSON output has "admitted by scribe-2 as 1 of 4: within limit" at "decisions.3.sentence"
    When the operator runs "explain r-8 {folder}/gateway.log"
    Then the exit code is 1
    And standard output contains "No log line names the request r-8."

  Scenario Outline: The example deployments are complete and valid
    When the operator runs "records apply examples/<deployment>/records"
    Then the exit code is 0
    And <n_engines> engines, <n_services> plain services, 3 failure domains and 10 teams are accepted
    And services of schema 1 and of schema 2 are accepted
    And its settings are valid and name the same sidecars as its records
    And the published keys match the hashes of its teams

    Examples:
      | deployment | n_engines | n_services |
      | kingston   | 6         | 3          |
      | hofudborg  | 7         | 3          |
