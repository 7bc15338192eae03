Feature: A gateway of the platform as a process

  Scenario: A change of the settings while it starts does not end it
    Given a gateway of the platform that has just been started
    When SIGHUP arrives before the gateway listens
    Then the gateway starts and reloads its settings

  Scenario: A server stops while a call is under way and its descriptor is used again
    Given a server with a call in progress
    When the server stops listening and a new socket reuses the listener's descriptor
    Then the call is answered and the server ends

  Scenario: A port that is in use is told in one line
    Given a settings file whose port for callers is in use
    When a gateway of the platform is started with it
    Then the gateway exits with status 1 and prints one line that names the port
