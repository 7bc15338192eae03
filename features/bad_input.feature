@fixture.callers
Feature: Invalid input is refused with an error kind and the gateway keeps serving

  Scenario Outline: A malformed body is refused
    When the kiosk posts a completion with <body>
    Then it is refused as <kind> with status <status>
    And the deployment still serves

    Examples:
      | body                      | kind           | status |
      | no body                   | bad_request    | 400    |
      | a list                    | bad_request    | 400    |
      | NaN                       | bad_request    | 400    |
      | an infinite temperature   | bad_request    | 400    |
      | a negative temperature    | bad_request    | 400    |
      | an integer of 5000 digits | bad_request    | 400    |
      | deep nesting              | bad_request    | 400    |
      | invalid UTF-8             | bad_request    | 400    |
      | a lone surrogate          | bad_request    | 400    |
      | a model of a surrogate    | bad_request    | 400    |
      | a model that is no string | bad_request    | 400    |
      | max_tokens of 0           | bad_request    | 400    |
      | max_tokens of -1          | bad_request    | 400    |
      | max_tokens of true        | bad_request    | 400    |
      | max_tokens of 10 to 18    | bad_request    | 400    |
      | max_tokens of 1.5         | bad_request    | 400    |
      | two choices               | bad_request    | 400    |
      | a stop sequence           | bad_request    | 400    |
      | a megabyte                | body_too_large | 413    |

  Scenario Outline: A malformed chat is refused
    When the kiosk posts a chat with messages <messages>
    Then it is refused as bad_request with status 400
    And the deployment still serves

    Examples:
      | messages                                         |
      | []                                               |
      | "hello"                                          |
      | ["hello"]                                        |
      | [{"content": "no role"}]                         |
      | [{"role": "user", "content": 7}]                 |
      | [{"role": "user", "content": [{"type": "x"}]}]   |

  Scenario Outline: A malformed header is refused
    When the kiosk posts a completion with the header <name> set to <value>
    Then it is refused as <kind> with status 400
    And the deployment still serves

    Examples:
      | name              | value              | kind         |
      | X-Request-Timeout | soon               | bad_deadline |
      | X-Request-Timeout | nan                | bad_deadline |
      | X-Request-Timeout | inf                | bad_deadline |
      | X-Request-Timeout | -1                 | bad_deadline |
      | X-Request-Timeout | 0                  | bad_deadline |
      | X-Request-Timeout | 3601               | bad_deadline |
      | Idempotency-Key   | a/b                | bad_request  |
      | Idempotency-Key   | 201 characters     | bad_request  |
      | Last-Event-ID     | scribe-1           | bad_request  |
      | Last-Event-ID     | scribe-1:x:minus   | bad_request  |
      | Last-Event-ID     | scribe-1:x:-1      | bad_request  |
      | Last-Event-ID     | scribe-1::1        | bad_request  |
      | Last-Event-ID     | scribe-1:x:1       | bad_request  |

  Scenario Outline: An unsupported method or path is refused
    When the kiosk sends <method> to <path>
    Then it is refused as <kind> with status <status>
    And the deployment still serves

    Examples:
      | method  | path                             | kind            | status |
      | GET     | /v1/completions                  | bad_request     | 400    |
      | PUT     | /v1/chat/completions             | bad_request     | 400    |
      | POST    | /healthz                         | bad_request     | 400    |
      | DELETE  | /v1/models                       | bad_request     | 400    |
      | GET     | /v1/nothing                      | unknown_service | 404    |
      | GET     | /                                | unknown_service | 404    |
      | TRACE   | /v1/services/frontdesk/x         | bad_request     | 400    |
      | GET     | /v1/services/                    | unknown_service | 404    |
      | GET     | /v1/services/summaries/x         | unknown_service | 404    |
      | GET     | /v1/services/frontdesk/a/../b    | bad_request     | 400    |
      | GET     | /v1/services/frontdesk/%2e%2e/b  | bad_request     | 400    |
      | GET     | /v1/services/frontdesk/a%00b     | bad_request     | 400    |

  Scenario Outline: Malformed HTTP requests are refused
    When a raw caller sends <bytes>
    Then the gateway answers with status <status>
    And the deployment still serves

    Examples:
      | bytes                               | status |
      | a body shorter than its length      | 400    |
      | a length that is no number          | 400    |
      | a negative length                   | 400    |
      | a length of 30 digits               | 413    |
      | length and chunks together          | 400    |
      | a chunk with no size                | 400    |
      | chunks that end early               | 400    |
      | chunks of two megabytes             | 413    |
      | an unknown transfer coding          | 400    |
      | a header line of 10 kB              | 400    |
      | headers of 100 kB                   | 400    |
      | a request line of 10 kB             | 414    |
      | no HTTP at all                      | 400    |

  Scenario: A chunked request body is read to its end
    When a raw caller writes a body in three chunks
    Then the gateway answers with status 200
