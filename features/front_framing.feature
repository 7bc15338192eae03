@fixture.platform_world
Feature: No byte of one request or answer is taken for another

  Scenario: The body of a refused HEAD request is not sent before the next answer
    Given an endpoint that answers with a whole answer and then closes
    When a HEAD request without a route and then a badge are sent on one connection
    Then the first answer ends with its head, and the second one is the badge's

  Scenario Outline: What follows an invalid chunk is not run as a request
    Given an endpoint that answers with a whole answer and then closes
    When a badge is sent in chunks that begin with <wire>, and another one behind them
    Then it gets status 400
    And the connection is closed without a second answer
    And the endpoint gets no request

    Examples:
      | wire                     |
      | +0\r\n\r\n               |
      | -0\r\n\r\n               |
      | 0x0\r\n\r\n              |
      | 0_0\r\n\r\n              |
      | \x200\r\n\r\n            |
      | 0\x20\x0b\r\n\r\n        |
      | \r\n\r\n                 |
      | 0\n\n                    |
      | 0;a=b\n\r\n              |
      | 5\r\nhelloX0\r\n\r\n     |
      | 0\r\nX-A: a\n\r\n        |

  Scenario: A request behind a chunked body is run as its own
    Given an endpoint that answers with a whole answer and then closes
    When a badge is sent in chunks that begin with 5;a=b\r\nhello\r\n0\r\nX-A: a\r\n\r\n, and another one behind them
    Then the endpoint gets 2 requests, the first with the body hello
