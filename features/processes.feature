@fixture.processes
Feature: Gateway, sidecar and stand-ins run as separate processes

  Scenario: An unmodified client streams through the processes
    When the openai client streams through the processes
    Then the openai client gets 12 tokens and a finish reason
    And the gateway's log contains the route of the request
    And the sidecar's log contains the admission of the request
    And every log line is JSON and none holds a secret

  Scenario Outline: An address in use is reported with the address
    When a second <program> is started with the settings of the first
    Then it exits with code 3 and names the address
    And the first still serves

    Examples:
      | program |
      | gateway |
      | sidecar |

  Scenario: A gateway does not start without the shared secret
    When a gateway is started without the shared secret
    Then it exits with code 3 and names the variable

  Scenario: A planned stop cuts off no stream
    When the gateway and the sidecar are told to stop during a stream
    Then the stream is whole
    And both processes exit with code 0
