Feature: Start, reload and stop of a platform gateway's process

  Scenario: SIGHUP during the start does not end the process
    Given a gateway of the platform that has just been started
    When SIGHUP arrives before the gateway listens
    Then the gateway starts and reloads its settings

  Scenario: A server stops cleanly although its listener's descriptor is reused during a call
    Given a server with a call in progress
    When the server stops listening and a new socket reuses the listener's descriptor
    Then the call is answered and the server ends

  Scenario: A port in use is reported in one line
    Given a settings file whose port for callers is in use
    When a gateway of the platform is started with this file
    Then the gateway exits with status 1 and prints one line that names the port
