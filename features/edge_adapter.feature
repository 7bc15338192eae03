@fixture.platform_world
Feature: A gateway of the users' platform speaks HTTP with callers and endpoints

  Scenario Outline: Only a complete and signed answer is passed on as a success
    Given an endpoint that answers with <bytes> and then <end>
    When a caller of the platform sends a badge
    Then it gets status <status>

    Examples:
      | bytes                         | end    | status |
      | a whole answer                | closes | 200    |
      | a whole answer and more       | closes | 200    |
      | a whole answer without length | closes | 200    |
      | a whole answer without length | resets | 502    |
      | an answer that is cut         | closes | 502    |
      | an answer that is cut         | resets | 502    |
      | a whole answer in chunks      | closes | 200    |
      | a chunked answer that is cut  | closes | 502    |
      | a chunk that is cut           | closes | 502    |
      | chunks without the last one   | resets | 502    |
      | a head that is cut            | closes | 502    |
      | an answer to another request  | closes | 502    |
      | an answer that is not signed  | closes | 502    |
      | an encoded answer             | closes | 502    |
      | a failure of its own          | closes | 500    |
      | a refusal                     | closes | 503    |
      | the refusal of another        | closes | 503    |
      | the refusal of another request | closes | 502    |
      | a refusal without id | closes | 502    |
      | the refusal of another without id | closes | 502    |
      | a status of 000               | closes | 502    |
      | a status of 600               | closes | 502    |
      | a length that is no number    | closes | 502    |
      | a negative length             | closes | 502    |
      | two lengths                   | closes | 502    |
      | a coding beside the chunks    | closes | 502    |
      | a refusal of status 600       | closes | 502    |
      | no HTTP                       | closes | 502    |
      | nothing                       | closes | 502    |
      | nothing                       | resets | 502    |

  Scenario: A request reaches the endpoint unchanged except for the system headers
    Given an endpoint that answers with a whole answer and then closes
    When a caller of the platform sends a badge with its own system headers
    Then the endpoint gets the caller's method, target, body and request id
    And it gets the team and the remaining time, but not the key
    And it gets none of the caller's system headers

  Scenario Outline: Only a stream without a missing event ends as complete
    Given an endpoint that answers with <bytes> and then <end>
    When a caller of the platform sends a summary
    Then it gets the events <events> and a stream that is <state>

    Examples:
      | bytes                            | end    | events | state    |
      | a whole stream                   | closes | 1 to 3 | complete |
      | a stream that is cut             | closes | 1 to 3 | broken   |
      | a stream that is cut             | resets | 1 to 3 | broken   |
      | a stream cut within its event    | closes | 1 to 2 | broken   |
      | a stream without its event two   | closes | 1 to 1 | broken   |
      | a stream with an event twice     | closes | 1 to 3 | complete |
      | a stream without length          | closes | 1 to 2 | complete |
      | a stream without length          | resets | 1 to 2 | broken   |
      | a stream without length cut within its event | closes | 1 to 1 | broken |

  Scenario Outline: A stream that breaks before its first event is an error of the closed list
    Given an endpoint that answers with <head> and then closes
    When a caller of the platform sends a summary
    Then it gets status 502
    And the error is generation_lost

    Examples:
      | head                                 |
      | the head of a stream                 |
      | the head of a stream without length  |

  Scenario: An endpoint that accepts no connection does not block callers
    Given an endpoint that accepts no connection
    And an endpoint that answers with a whole answer and then closes
    When 6 badges are sent, each with a timeout of under a second
    Then all of them get status 200

  Scenario Outline: Ambiguous, malformed and unauthorized requests are refused
    Given an endpoint that answers with a whole answer and then closes
    When a caller of the platform sends <request>
    Then it gets status <status>
    And the endpoint gets no request

    Examples:
      | request                              | status |
      | two lengths                          | 400    |
      | a length and chunks                  | 400    |
      | a length with a sign                 | 400    |
      | a coding that is not chunked         | 400    |
      | a space before a colon               | 400    |
      | a folded header                      | 400    |
      | two hosts                            | 400    |
      | no request id                        | 400    |
      | two request ids                      | 400    |
      | a time that is no number             | 400    |
      | a body that is too long              | 413    |
      | headers that are too long            | 431    |
      | a body that is cut                   | 400    |
      | chunks that are broken               | 400    |
      | an unknown key                       | 401    |
      | no key                               | 401    |
      | a path without a route               | 404    |
      | another host                         | 404    |

  Scenario: A smuggled request never reaches an endpoint
    Given an endpoint that answers with a whole answer and then closes
    When a caller of the platform sends a badge inside another with a length and chunks
    Then it gets status 400
    And the endpoint gets no request

  Scenario: A public route needs no key
    Given an endpoint that answers with a whole answer and then closes
    When a caller of the platform sends an open request without a key
    Then it gets status 200

  Scenario Outline: An invalid entry adds no endpoint and leaves the others in use
    Given an endpoint that answers with a whole answer and then closes
    And an entry <entry>
    When a caller of the platform sends a badge
    Then it gets status 200
    And 1 endpoints are known

    Examples:
      | entry                    |
      | of bytes                 |
      | without address          |
      | with a host name         |
      | with slots as text       |
      | in a state nobody knows  |
      | that is a list           |

  Scenario: An endpoint whose entry has become unreadable gets no work until it is readable
    Given an endpoint that answers with a whole answer and then closes
    When the entry of the endpoint is overwritten with invalid bytes
    Then 0 endpoints remain in use
    When the entry of the endpoint is readable again
    Then 1 endpoints remain in use

  Scenario: An unreadable deployment leaves the current one in force
    Given an endpoint that answers with a whole answer and then closes
    When the row of the deployment is overwritten with invalid bytes
    And a caller of the platform sends a badge
    Then it gets status 200

  Scenario: A newer deployment is in force at once
    Given an endpoint that answers with a whole answer and then closes
    When a version without the badge's route is written
    And a caller of the platform sends a badge
    Then it gets status 404

  Scenario: Changes are found after the store has discarded its history
    Given an endpoint that answers with a whole answer and then closes
    When the store forgets its history and the entry of the endpoint is removed
    Then 0 endpoints remain in use

  Scenario: A gateway that starts while the store is silent serves nobody
    Given the store is silent and the gateway starts again
    When a caller of the platform sends a badge
    Then it gets status 503
    And the gateway is not ready

  Scenario: A gateway keeps serving while the store is down
    Given an endpoint that answers with a whole answer and then closes
    When the store has been down for a second
    And a caller of the platform sends a badge
    Then it gets status 200
