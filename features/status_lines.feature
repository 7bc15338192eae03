Feature: What has no valid status line is no response, and may have run

  Each row goes to a whole answer, a stream, a stream with a mirror, a resumed stream, a
  report, a copy, and to what sidecars call and the store; with and without the header
  that says "not run".

  Scenario Outline: A status line that was taken for a status
    Given a server whose status line is "<line>"
    When each kind of call reads its answer
    Then each call has broken off, may have run and tells nothing of its endpoint

    Examples: Each was taken for a status before the strict reader
      | line                   |
      | HTTP/1.1 600 Odd       |
      | HTTP/1.1 999 Odd       |
      | HTTP/1.1 +200 OK       |
      | HTTP/1.1 2_00 OK       |
      | HTTP/1.1 0200 OK       |
      | HTTP/1.1  200 OK       |
      | HTTP/1.1\t200 OK       |
      | \x20HTTP/1.1 200 OK    |
      | HTTP/0.9 200 OK        |
      | HTTP/1.2 200 OK        |
      | HTTP/1.11 200 OK       |
      | HTTP/1.x 200 OK        |
      | HTTP/1.1 200 O\x00K    |
      | HTTP/1.1 200 O\rK      |
      | HTTP/1.1 101 Switching |

    Examples: Each was refused before as well
      | line                   |
      | HTTP/1.1 000           |
      | HTTP/1.1 000 OK        |
      | HTTP/1.1 099 OK        |
      | HTTP/1.1 1000 OK       |
      | HTTP/1.1 -200 OK       |
      | HTTP/1.1 20 OK         |
      | HTTP/1.1 2OO OK        |
      | HTTP/1.1 OK            |
      | HTTP/1.1               |
      | HTTP/2 200 OK          |
      | http/1.1 200 OK        |
      | ICY 200 OK             |
      | 200 OK                 |
      | \r\n                   |

  Scenario Outline: A status line that is valid is taken
    Given a server whose status line is "<line>"
    When a platform endpoint reads its answer
    Then the answer has status <status>

    Examples: Taken before as well
      | line                                           | status |
      | HTTP/1.1 200 OK                                | 200    |
      | HTTP/1.0 200 OK                                | 200    |
      | HTTP/1.1 200                                   | 200    |
      | HTTP/1.1 200\x20                               | 200    |
      | HTTP/1.1 404 Ikke Fundet \xe6                  | 404    |
      | HTTP/1.1 599 Odd                               | 599    |
      | HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK   | 200    |

    Examples: An interim response was taken for the final one
      | line                                           | status |
      | HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK | 200 |
      | HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 500 Odd            | 500 |

  @fixture.platform_world
  Scenario Outline: Bytes without end after what is no status line hold up nobody
    Given an endpoint that sends <prefix>, then letters without end
    When the loop is watched while a caller sends a <request>
    Then it gets a status of 502 or 504
    And the loop never stands still for longer than 50 ms
    And the endpoint's connection is closed

    Examples: Each was cut off before as well
      | prefix                    | request |
      | a head of status 000      | badge   |
      | a head of status 000      | summary |
      | a head of status 600      | badge   |
      | a head of status 600      | summary |
      | a status line without end | badge   |
