Feature: One connection to each peer, replaced when it no longer serves

  @fixture.peer_pair
  Scenario: A peer that is dropped and named again keeps one connection
    Given a link to the peer
    When the peer is removed and added again 3 times
    Then the peer has been connected to once

  @fixture.peer_pair
  Scenario: A connection that was replaced is made anew at once
    Given a link to the peer
    When the link is told to reconnect
    Then the peer is connected again within 1 second

  @fixture.peer_pair
  Scenario: A peer that refuses the handshake leaves no socket behind
    Given a link whose key is wrong
    When the handshake was refused 3 times
    Then no socket of a refused handshake is left open
