Feature: No port depends on staying free between choosing and listening

  Scenario: A port of a deployment can't be taken before its gateway listens
    Given a deployment whose gateways have not been started
    When another process tries to listen on the address for peers of "gateway-1"
    Then that process is told that the address is in use
    And "gateway-1" can be started

  Scenario: A port of a platform gateway stays reserved while its process restarts
    Given a gateway of the platform that has just been started
    When its process is killed
    And another process tries to listen on its address for callers
    Then that process is told that the address is in use
    And the gateway's process starts again

  @fixture.platform_world
  Scenario: A gateway whose port for peers is chosen by the system publishes that port
    Given a gateway of the platform whose port for peers is 0
    Then the address that it publishes to the others is the one that it listens on

  Scenario: A malformed request leaves no line in the log that is not JSON
    Given a server of the HTTP stand-ins
    When a connection sends the bytes of a peer's greeting
    Then nothing is written to the standard error
