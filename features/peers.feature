@fixture.callers
Feature: Only processes with the peer key are accepted, and faulty peers do no harm

  Scenario Outline: An unauthenticated process is disconnected and nothing is run
    When an unauthenticated process connects to a sidecar and <act>
    Then the sidecar closes the connection
    And the gateways are still connected to every sidecar
    And the deployment still serves

    Examples:
      | act                                        |
      | proves with a wrong key                    |
      | reflects the sidecar's own proof           |
      | replays the proof of an earlier connection |
      | speaks another protocol version            |
      | says nothing                               |
      | sends garbage                              |
      | sends frames nested 400 deep               |
      | sends one byte at a time                   |
      | sends a megabyte before its proof          |
      | sends a dispatch in place of a greeting    |
      | sends a dispatch in place of its proof     |
      | greets with an empty name                  |
      | greets with a short nonce                  |
      | greets with a name that is a number        |

  Scenario Outline: A peer that violates the protocol is disconnected
    When an authenticated peer sends a sidecar <frame>
    Then the sidecar closes the connection
    And the gateways are still connected to every sidecar
    And the deployment still serves

    Examples:
      | frame                            |
      | a frame over the size bound      |
      | garbage                          |
      | a number in place of a frame     |
      | an unknown tag                   |
      | a frame with no list of fields   |
      | a frame with too few fields      |
      | a frame with too many fields     |
      | text in place of a number        |
      | a number in place of text        |
      | true in place of a number        |
      | an offset that is no number      |
      | a list with a wrong item         |
      | work of an unknown type          |
      | a record in place of work        |
      | a deadline that is not finite    |
      | frames nested 1000 deep          |

  Scenario: A frame sent in the wrong direction is dropped
    When an authenticated peer sends a sidecar a frame for gateways
    Then the peer still gets heartbeats
    And the deployment still serves

  Scenario: A trailing field with a default may be missing
    When a dispatch without temperature and priority is decoded
    Then its work has the defaults

  Scenario Outline: A gateway refuses a sidecar that does not know the key
    When a gateway starts its handshake with a server that <act>
    Then the handshake fails

    Examples:
      | act                      |
      | proves with a wrong key  |
      | reflects its proof       |
      | closes at once           |

  Scenario Outline: Frames are unchanged after encoding and decoding
    When frames are encoded and fed to a decoder in pieces of <n_bytes> bytes
    Then the decoder returns the same frames

    Examples:
      | n_bytes |
      | 1       |
      | 7       |
      | 100000  |
