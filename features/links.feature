Feature: A link keeps one connection to each peer and replaces it when it is closed

  @fixture.peer_pair
  Scenario: A peer that is removed and added again keeps one connection
    Given a link to the peer
    When the peer is removed and added again 3 times
    Then the peer has been connected to once

  @fixture.peer_pair
  Scenario: A closed connection is opened again at once
    Given a link to the peer
    When the link is told to reconnect
    Then the peer is connected again within 1 second

  @fixture.peer_pair
  Scenario: A refused handshake leaves no socket open
    Given a link whose key is wrong
    When the handshake was refused 3 times
    Then no socket of a refused handshake is left open
