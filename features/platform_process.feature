Feature: A gateway of the platform as a process

  Scenario: A change of the settings while it starts does not end it
    Given a gateway of the platform that has just been started
    When SIGHUP comes before it listens
    Then it starts all the same and reads its settings again

  Scenario: A server stops while a call is under way and its descriptor is used again
    Given a server with a call under way
    When it stops listening and the next socket gets its descriptor
    Then the call is answered and the server has ended

  Scenario: A port that is in use is told in one line
    Given a settings file whose port for callers is in use
    When a gateway of the platform is started with it
    Then it ends with status 1 and one line that names the port
