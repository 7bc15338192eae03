Feature: A head with a line that is no field is no head

  # Guards against answers that lose the fields behind such a line, and with them the
  # framing of their body, and still pass for a success (MIXED).
  Scenario Outline: An answer with such a line has broken off for each kind of call
    Given a server whose head has the line "<line>" behind its signature
    When each kind of call reads its answer
    Then each call has broken off, may have run and tells nothing of its endpoint

    Examples:
      | line                     |
      | spoiled line             |
      | Bad Name: x              |
      | Bad\x01Name: x           |
      | Bad\xe6Name: x           |
      | X-Note : x               |
      | X-Note\t: x              |
      | : x                      |
      | X-Note: a\r\n b          |
      | X-Note: a\rX-Other: b    |
      | X-Note: a\r              |
      | X-Note: a\x00b           |
      | X-Note: a\x0bb           |
      | X-Note: a\x7fb           |

  Scenario: Such a line in an interim response counts as well
    Given a server whose status line is "HTTP/1.1 103 Early\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK"
    When each kind of call reads its answer
    Then each call has broken off, may have run and tells nothing of its endpoint

  Scenario Outline: Such a line behind a chunked body counts as well
    Given a server that answers with 4\r\nbody\r\n0\r\n<line>\r\n\r\n as its chunked body
    When a platform endpoint calls it once
    Then the answer has failed

    Examples:
      | line           |
      | Bad Name: x    |
      | X-Note: a\x00b |
      | X-Note: a\rb   |

  @fixture.platform_world
  Scenario Outline: A request with such a line is refused and reaches no endpoint
    Given an endpoint that answers with a whole answer and then closes
    When a caller sends a badge whose head has the line "<line>"
    Then it gets status 400
    And the endpoint has got 0 requests

    Examples:
      | line                     |
      | no field                 |
      | Bad Name: x              |
      | Bad\x01Name: x           |
      | X-Note : x               |
      | X-Note: a\r\n b          |
      | X-Note: a\rX-Other: b    |
      | X-Note: a\x00b           |
      | X-Note: a\x01b           |

  # Guards against answers and requests that are refused though HTTP allows them.
  @fixture.platform_world
  Scenario Outline: What HTTP allows in a field passes both ways
    Given an endpoint whose answer has the line "<line>" in its head
    When a caller sends a badge whose head has the line "<line>"
    Then it gets status 200
    And the endpoint and the caller have got the field "<field>"

    Examples:
      | line                       | field                      |
      | X-Note: \xe6\x80\x85\xff   | X-Note: \xe6\x80\x85\xff   |
      | X-Note:                    | X-Note:                    |
      | X-Note: a\tb               | X-Note: a\tb               |
      | X-Note:a                   | X-Note: a                  |
      | X-Note: \t a\t\x20         | X-Note: a                  |
      | X-Note: a\nX-Other: b      | X-Note: a                  |
      | X1!#$%&'*+.^_`\|~: a       | X1!#$%&'*+.^_`\|~: a       |
