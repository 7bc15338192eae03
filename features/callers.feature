Feature: Callers use the OpenAI API and lose no token when a connection breaks

  @fixture.callers
  Scenario: The openai client streams a chat
    When the openai client streams a chat of 12 tokens
    Then the first chunk carries the role and no other does
    And the chunks hold 12 tokens and a finish reason
    And the last chunk reports a usage of 12 output tokens

  @fixture.callers
  Scenario: The openai client gets whole answers
    When the openai client asks for a chat and a completion of 6 tokens
    Then both have 6 tokens, their usage and the same text

  @fixture.callers
  Scenario: The openai client lists the models of its team
    When the openai client lists the models
    Then it gets "scribe"

  @fixture.callers
  Scenario Outline: Errors make the openai client raise the matching exception
    When the openai client makes the mistake "<mistake>"
    Then it raises <exception> with the kind <kind>

    Examples:
      | mistake              | exception           | kind            |
      | a wrong key          | AuthenticationError | unauthenticated |
      | an unknown model     | NotFoundError       | unknown_model   |
      | no tokens allowed    | BadRequestError     | bad_request     |
      | a list with no key   | AuthenticationError | unauthenticated |

  @fixture.callers
  Scenario Outline: The answer carries the caller's request id
    When the kiosk sends <method> <path> with the request id "kiosk-7.42"
    Then the answer has status <status> and the request id "kiosk-7.42"

    Examples:
      | method | path                        | status |
      | POST   | /v1/completions             | 200    |
      | POST   | /v1/services/frontdesk/x    | 200    |
      | GET    | /v1/models                  | 200    |
      | GET    | /healthz                    | 200    |
      | GET    | /metrics                    | 200    |
      | GET    | /v1/nothing                 | 404    |
      | GET    | /v1/services/nobody/x       | 404    |

  @fixture.callers
  Scenario Outline: A caller reconnects and misses no token
    When a caller reads 5 events of a stream of 18 tokens and reconnects at <where>
    Then it has 18 tokens, numbered from 1 without a gap, from one attempt

    Examples:
      | where                                            |
      | another gateway                                  |
      | the same gateway                                 |
      | the same gateway with the first connection open  |
      | another gateway with the first connection open   |

  @fixture.callers
  Scenario Outline: Another team can't attach to a generation
    When another team tries to resume a stream of 18 tokens at <where>
    Then it gets no token and the error kind forbidden
    And the owner has all 18 tokens, numbered from 1 without a gap

    Examples:
      | where            |
      | the same gateway |
      | another gateway  |

  @fixture.callers
  Scenario: A caller that resumes an unknown attempt is refused
    When a caller tries to resume an unknown attempt
    Then the kiosk gets the error kind unknown_generation

  @fixture.silent_engine
  Scenario Outline: A caller that disconnects while no token is generated is noticed
    When a caller disconnects <when>
    Then the gateway forgets the request
    And the engine is told to cancel within the grace period

    Examples:
      | when                                        |
      | while its stream is silent                  |
      | while it waits for a whole answer           |
      | after it sent its next request early        |

  @fixture.callers
  Scenario: Two requests sent at once are answered in order
    When a raw caller writes two requests at once
    Then both are answered in order on one connection

  @fixture.callers
  Scenario: Only end-to-end headers of a plain service reach the caller
    When the kiosk gets "/headers" from the plain service
    Then it gets the service's end-to-end headers and no hop-by-hop headers

  @fixture.callers
  Scenario Outline: Bodies of plain services reach the caller unchanged
    When the kiosk calls the plain service with <method> "<path>"
    Then it gets status <status>, length <length> and the body <body>

    Examples:
      | method | path    | status | length | body       |
      | GET    | /sized  | 200    | 7      | 1234567    |
      | HEAD   | /sized  | 200    | 7      | nothing    |
      | GET    | /empty  | 204    | none   | nothing    |
      | GET    | /gzip   | 200    | 30     | gzip       |
      | PUT    | /plain  | 200    | 5      | plain      |
      | DELETE | /plain  | 200    | 5      | plain      |

  @fixture.callers
  Scenario Outline: An answer that is cut off or too large is reported as failed
    When the kiosk gets "<path>" from the plain service
    Then the kiosk gets the error kind <kind>

    Examples:
      | path  | kind            |
      | /cut  | endpoint_failed |
      | /huge | endpoint_failed |

  @fixture.callers
  Scenario Outline: The path that the gateway decides on is the path that the endpoint gets
    When the kiosk gets "<sent>" from the plain service
    Then the plain service was asked for "<seen>"

    Examples:
      | sent           | seen          |
      | /a%2Fb         | /a%2Fb        |
      | /%67uests      | /guests       |
      | /a%3Fb         | /a%3Fb        |
      | /a%20b         | /a%20b        |
