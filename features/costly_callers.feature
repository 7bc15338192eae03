Feature: Clients that cost much end no gateway and keep nobody from being served

  Scenario Outline: The number of header lines is bounded by their bytes alone
    Given a gateway process of little memory
    When a client posts a badge with <n> header lines
    Then the client gets its badge

    Examples:
      | n    |
      | 90   |
      | 150  |
      | 400  |
      | 1500 |

  Scenario Outline: A crowd leaves the gateway its memory and its clients their answers
    Given a gateway process of little memory
    When a crowd sends <kind>
    Then the readiness port and an ordinary client get answers
    And the gateway lives within its memory and descriptors

    Examples:
      | kind                    |
      | many tiny lines         |
      | odd lines               |
      | heads that never end    |
      | pipelined requests      |
      | bodies never sent       |
      | responses never read    |
      | responses read slowly   |
      | streams read slowly     |
      | half-closed connections |

  Scenario: Streams that nobody reads are ended and free their endpoint
    Given a gateway process of little memory
    When a crowd sends streams never read
    Then the endpoint is free again
    And the readiness port and an ordinary client get answers
    And the gateway lives within its memory and descriptors
