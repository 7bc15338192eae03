@fixture.platform_world
Feature: Bytes without end hold up nobody but their sender

  Scenario Outline: An endpoint that sends without end fails its own request only
    Given an endpoint that sends <prefix>, then <unit> without end
    When the loop is watched while a caller sends a badge
    Then it gets a status of 502 or 504
    And the loop never stands still for longer than 50 ms
    And the endpoint's connection is closed and its failure is counted

    Examples:
      | prefix                      | unit                   |
      | nothing                     | interim responses      |
      | nothing                     | letters                |
      | the start of a head         | letters                |
      | the start of a head         | header lines           |
      | a head with a length        | letters                |
      | a head without a length     | letters                |
      | a head of a chunked body    | chunks of one byte     |
      | a head of a chunked body    | zeros                  |
      | the start of an extension   | letters                |
      | the last chunk              | header lines           |

  Scenario Outline: A stream without end is cut and never shown as complete
    Given an endpoint that sends a head of a stream, then <unit> without end
    When the loop is watched while a caller sends a summary
    Then it gets a stream that is cut
    And the loop never stands still for longer than 50 ms
    And the endpoint's connection is closed

    Examples:
      | unit              |
      | numbered events   |
      | the same event    |
      | comments          |
      | letters           |
      | line ends         |

  Scenario: An event without end in small chunks does not hold up the loop
    Given an endpoint that sends a head of a chunked stream, then chunks of 4 bytes without end
    When the loop is watched while a caller sends a summary
    Then it gets a status of 502 or 504
    And the loop never stands still for longer than 50 ms
    And the endpoint's connection is closed

  Scenario Outline: What splits a message takes time by its bytes, not by its pieces
    Given a message of 240 KiB for <reader> and one of 15 KiB
    When both are fed in pieces of 4 bytes
    Then the larger one takes at most 4 times as long for each byte

    Examples:
      | reader                       |
      | the splitter of events       |
      | the decoder of chunks        |
      | the decoder of frames        |

  Scenario Outline: A caller that sends without end is cut off
    Given an endpoint that answers with a whole answer and then closes
    When another process sends the gateway <prefix>, then <unit> without end
    Then its connection is closed within 4 s
    And the loop never stands still for longer than 50 ms

    Examples:
      | prefix                       | unit               |
      | nothing                      | letters            |
      | the start of a request       | header lines       |
      | the start of a request       | letters            |
      | a request with a length      | letters            |
      | a request of a chunked body  | zeros              |
      | a request and an extension   | letters            |
      | a request and its last chunk | header lines       |
      | a badge                      | line ends          |

  Scenario: A caller that sends its head a byte now and then is cut off
    When a caller sends one byte of a head every 0.2 s
    Then its connection is closed within 4 s

  Scenario Outline: Endless reports, copies and answers of the store end in time
    Given a server that sends <prefix>, then <unit> without end
    When the loop is watched while <call> is called there
    Then the call fails within 3 s
    And the loop never stands still for longer than 50 ms

    Examples:
      | call      | prefix                    | unit               |
      | a report  | nothing                   | interim responses  |
      | a report  | a head without a length   | letters            |
      | a report  | the last chunk            | header lines       |
      | the store | nothing                   | interim responses  |
      | the store | a head without a length   | letters            |
      | the store | the start of an extension | letters            |
      | the store | a head of a chunked body  | chunks of one byte |

  Scenario: An answer that comes a byte now and then ends at its deadline
    Given a server that sends one byte of a body every 0.1 s
    When the loop is watched while a report is called there
    Then the call fails within 3 s

  Scenario: Datagrams without end leave the loop its turns
    When another process sends the gateway datagrams for 2 s
    Then the loop never stands still for longer than 50 ms
