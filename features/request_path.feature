@fixture.kingston
Feature: A request is served from end to end

  Scenario: A streamed generation arrives whole and in order
    When a caller streams a completion of 25 tokens
    Then 25 tokens arrive, numbered from 1 without a gap
    And all tokens come from a single attempt
    And the stream ends with a finish reason

  Scenario: A completion without streaming is answered
    When a caller asks for a completion of 5 tokens
    Then the answer has status 200 and 5 tokens

  Scenario: A badge issue sent twice with one key runs once
    When a caller issues a badge twice with the key "visit-1"
    Then both answers are the same
    And the plain services have run the call once

  Scenario Outline: Bad input is refused with its error kind and not run
    When a caller sends <input>
    Then the error kind is <kind> with status <status> and ran <ran>
    And the gateway still serves

    Examples:
      | input               | kind            | status | ran |
      | malformed JSON      | bad_request     | 400    | no  |
      | an unknown model    | unknown_model   | 404    | no  |
      | an unknown service  | unknown_service | 404    | no  |
      | a wrong key         | unauthenticated | 401    | no  |
      | a bad deadline      | bad_deadline    | 400    | no  |
      | an oversized body   | body_too_large  | 413    | no  |
