Feature: A chunked answer that is cut anywhere is never taken for a whole one

  Scenario Outline: The body of an answer is cut at each of its bytes
    Given a server whose chunked answer <form> is cut at each byte of its body
    When <client> calls it until the body is whole
    Then each of 19 or more answers but the last one has failed, and may have run

    Examples:
      | client              | form            |
      | a platform endpoint | of plain sizes  |
      | a platform endpoint | of padded sizes |
      | a platform endpoint | with extensions |
      | a platform endpoint | with a trailer  |
      | a platform stream   | of plain sizes  |
      | a platform stream   | of padded sizes |
      | a platform stream   | with extensions |
      | a platform stream   | with a trailer  |
      | a service           | of padded sizes |
      | a store             | of padded sizes |
      | a report            | of padded sizes |

  Scenario Outline: A chunked answer that is malformed is never taken for a whole one
    Given a server that answers with <wire> as its chunked body
    When a platform endpoint calls it once
    Then the answer has failed

    Examples:
      | wire                                |
      | +4\r\nbody\r\n0\r\n\r\n             |
      | 0x4\r\nbody\r\n0\r\n\r\n            |
      | 0_4\r\nbody\r\n0\r\n\r\n            |
      | \x204\r\nbody\r\n0\r\n\r\n          |
      | \r\nbody\r\n0\r\n\r\n               |
      | 4\nbody\r\n0\r\n\r\n                |
      | 4\r\nbody0\r\n\r\n                  |
      | 4\r\nbodyXX0\r\n\r\n                |
      | 4\r\nbody\r\n0\r\nX-A: a\n\r\n      |
      | 4\r\nbody\r\n-0\r\n\r\n             |
