Feature: Work that uncontrolled clients cause keeps nobody from being served

  Scenario: A body of the largest size that comes in chunks of one byte is served in calm
    Given a gateway process that takes bodies of 150000 bytes
    When a client posts a badge in 150000 chunks of one byte
    Then the client gets its badge

  Scenario Outline: A chunked body is decoded alike, whatever its pieces and its slices
    Given a body in <chunks> chunks
    When it is decoded in random pieces and slices of at most <n_lines> lines
    Then each decoding yields the body and leaves what is behind it

    Examples:
      | chunks    | n_lines |
      | one-byte  | 7       |
      | small     | 7       |
      | odd       | 7       |
      | one-byte  | 100000  |
      | small     | 100000  |
      | odd       | 100000  |

  Scenario: Idle connections do not keep the heads of requests that were answered
    Given a gateway process of little memory
    When uncontrolled clients send probes that are answered
    And they stay until their requests have been answered
    Then the gateway lives within its memory and descriptors
    And the readiness port and an ordinary client get answers

  Scenario Outline: Clients that are not controlled keep nobody from being served
    Given a gateway process of little memory
    When uncontrolled clients send <kind>
    Then an ordinary client is answered at its only attempt
    And the readiness port answers
    And the gateway lives within its memory and descriptors
    And all is answered once the clients have left
    And the gateway lives within its memory and descriptors

    Examples:
      | kind                          |
      | bodies in one-byte chunks     |
      | bodies in large chunks        |
      | chunk extensions              |
      | an endless chunk extension    |
      | trailers                      |
      | a byte a second               |
      | bodies after 100 Continue     |
      | heads of short lines          |
      | heads of empty fields         |
      | heads of folded lines         |
      | heads of one name             |
      | probes of short lines         |
      | probes of empty fields        |
      | probes of folded lines        |
      | probes of one name            |
      | probes with a long chunk size |
      | probes in one-byte chunks     |
      | several kinds                 |
