@fixture.edge
Feature: Streams continue when their endpoint leaves or fails

  Scenario: A stream whose connection breaks continues at its mirror
    Given the engines engine-a and engine-b
    And a summary that got the events 1 to 10
    When its engine breaks the connection
    Then it continues at the other engine from a copy up to event 10
    And the caller has the events 1 to 20 once, when 11 to 20 follow

  Scenario: Events that the caller has are not sent again
    Given the engines engine-a and engine-b
    And a summary that got the events 1 to 10
    When its engine breaks the connection
    And the events 8 to 14 follow
    Then the caller has got the events 1 to 14 once

  Scenario: A stream with a missing event fails instead of looking complete
    Given the engines engine-a and engine-b
    And a summary that got the events 1 to 10
    When its engine breaks the connection
    And the events 12 to 14 follow
    Then the caller has got the events 1 to 10 once
    And the summary fails as generation_lost

  Scenario: A stream whose mirror has no copy fails and is not run again
    Given the engines engine-a and engine-b
    And a summary that got the events 1 to 10
    When its engine breaks the connection
    And the endpoint refuses the attempt
    Then the summary fails as generation_lost
    And 2 attempts were sent for it

  Scenario: A stream that never began is not run again without a mirror
    Given the engines engine-a
    And a summary that was sent
    When its engine breaks the connection
    Then the summary fails as outcome_unknown
    And 1 attempts were sent for it

  Scenario: A stream without a mirror is copied while it runs, then stopped
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 3 times
    Then the last copy was final and the others were not
    And it continues at the other engine from a copy up to event 10

  Scenario: A stream continues when the stop for its final copy closes the connection
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And its engine breaks the connection
    And the engine copies its run 1 times
    Then it continues at the other engine from a copy up to event 10

  Scenario: The copy of a run that has not begun is retried
    Given the engines engine-a
    And a summary that was sent
    And the engines engine-b
    When engine-a drains
    And the engine knows no such run
    And 0.2 seconds go by
    Then 2 copies were requested

  Scenario: A stream does not continue at a mirror that is leaving
    Given the engines engine-a and engine-b
    And a summary that got the events 1 to 10
    When its mirror drains
    And its engine breaks the connection
    Then the summary fails as generation_lost

  Scenario: A stream does not continue in a failure domain that is out
    Given the engines engine-a and engine-b
    And a summary that got the events 1 to 10
    When the domain of the other engine is out
    And its engine breaks the connection
    Then the summary fails as generation_lost
    And 1 attempts were sent for it

  Scenario: A run is not migrated to a failure domain that is out
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-z and engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And the domain of the copy's target is out
    And the engine copies its run 1 times
    Then nothing was sent to the copy's target

  Scenario Outline: A stream whose mirror answers without a stream is not complete
    Given the engines engine-a and engine-b
    And a summary that got the events 1 to 10
    When its engine breaks the connection
    And its mirror answers with status <status>
    Then the summary fails as generation_lost

    Examples:
      | status |
      | 500    |
      | 200    |

  Scenario Outline: A stream without length or chunks that ends during its final copy is not complete
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And the connection of the stream, which has no length, ends
    Then the summary is open
    When <answer>
    Then the summary is <outcome>

    Examples:
      | answer                          | outcome   |
      | the engine copies its run 1 times | resumed |
      | the engine knows no such run    | complete  |
      | the engine could not copy its run | lost    |

  Scenario Outline: A stream without length or chunks that ends after the answer to its final copy is not complete
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And <answer>
    And the connection of the stream, which has no length, ends
    Then the summary is <outcome>

    Examples:
      | answer                                  | outcome  |
      | the engine could not copy its run       | lost     |
      | the engine knows no such run            | complete |
      | the final copy gets no answer           | open     |
      | the gateway can't connect to the engine | open     |

  Scenario Outline: A final copy without an answer is ordered again before the stream is given up
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And <loss>
    And the connection of the stream, which has no length, ends
    And the final copy gets no answer
    And 0.3 seconds go by
    Then 5 copies were requested
    When <answer>
    Then the summary is <outcome>

    Examples:
      | loss                          | answer                              | outcome |
      | the final copy gets no answer | the engine copies its run 1 times   | resumed |
      | the final copy gets no answer | the engine has stopped its run but could not copy it | resumed |
      | the final copy gets no answer | the engine knows no such run        | resumed |
      | the final copy gets no answer | the engine could not copy its run   | lost    |

  Scenario: A run that no final copy has reached may have ended by itself
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And the gateway can't connect to the engine
    And the engine knows no such run
    And the connection of the stream, which has no length, ends
    Then the summary is complete

  Scenario Outline: A stream whose final copy stays without an answer resumes from an earlier copy
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And <end>
    And the final copies get no answers for 6 seconds
    Then the summary is resumed
    And it continues at the other engine from a copy up to event 10

    Examples:
      | end                                                         |
      | the connection of the stream, which has no length, ends     |
      | its engine breaks the connection                            |

  Scenario Outline: A stream whose copies can't be used is given up, not left open
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And <end>
    And the domain of the copy's target is out
    And the final copies get no answers for 6 seconds
    Then the summary is lost

    Examples:
      | end                                                         |
      | the connection of the stream, which has no length, ends     |
      | its engine breaks the connection                            |

  Scenario Outline: A stream resumes from an earlier copy when its engine ends
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run <n> times
    And <end>
    Then it continues at the other engine from a copy up to event 10
    And the caller has the events 1 to 20 once, when 11 to 20 follow

    Examples:
      | n | end                                                  |
      | 1 | its engine breaks the connection                     |
      | 2 | its engine breaks the connection and is gone         |

  Scenario: A stream that breaks before its first copy is lost
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And its engine breaks the connection
    Then the summary is lost

  Scenario Outline: A final copy whose engine is forgotten decides about the stream all the same
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And the connection of the stream, which has no length, ends
    And the entry of engine-a is removed and forgotten
    And <answer>
    Then the summary is <outcome>

    Examples:
      | answer                            | outcome  |
      | the engine copies its run 1 times | resumed  |
      | the engine could not copy its run | lost     |
      | the engine knows no such run      | complete |

  Scenario: A stream with chunks that ends after an unanswered final copy is complete
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And the final copy gets no answer
    And the stream ends
    Then the summary is complete

  Scenario: A run that its engine may have stopped is not copied as a running one
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And the engine could not copy its run
    And 0.3 seconds go by
    Then the last copy was final and 4 were requested

  Scenario: A lost answer to a final copy does not hold up the other streams of the engine
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And the final copy gets no answer
    Then copies of 2 runs were requested

  Scenario: A plain answer without length that ends after a final copy is not complete
    Given the engines engine-a
    And a summary that was sent
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And the engine could not copy its run
    And its engine answers without a length
    Then the summary is lost

  Scenario: A stream without length or chunks that ends at its deadline is not complete
    Given the engines engine-a
    And a summary that got the events 1 to 10
    When the connection of the stream, which has no length, ends 0.01 s before its deadline
    And 0.1 seconds go by
    Then the summary fails as deadline_after_start

  Scenario: A plain answer without length that comes at the deadline goes out
    Given the plain endpoints desk-a
    And a lookup that was sent
    When its endpoint answers without a length 0.01 s before its deadline
    Then the request ends as 200

  Scenario Outline: A stream without length or chunks whose engine has ended is not complete
    Given the engines engine-a
    And a summary that got the events 1 to 10
    When the connection of the stream, which has no length, ends and <who> answers there
    Then the summary is <outcome>

    Examples:
      | who                 | outcome  |
      | nobody              | lost     |
      | another incarnation | lost     |
      | the same            | complete |

  Scenario: A stream that was moved and is refused by the target is not run anew
    Given the engines engine-a
    And a summary that was sent
    And the engines engine-b and engine-c
    When engine-a drains
    And the engine copies its run 3 times
    And the endpoint refuses the attempt
    And 0.3 seconds go by
    Then 2 attempts were sent for it
    And the summary fails as outcome_unknown

  Scenario: A request that an engine refuses while its run is copied can be copied at the next
    Given the engines engine-a
    And a summary that was sent
    And the engines engine-b
    When engine-a drains
    And the endpoint refuses the attempt
    And 0.3 seconds go by
    And an engine engine-c joins and engine-b drains
    Then copies were ordered of engine-a and of the engine that runs it now

  Scenario: The final copy is ordered of the incarnation to which the request was sent
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 1 times
    And engine-a starts anew and drains
    And the engine copies its run 1 times
    Then the last copy is ordered of the first incarnation

  Scenario: A final copy that is ordered again goes to another engine if the target leaves
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And an engine engine-c joins and engine-b drains
    And the final copy gets no answer
    Then the last copy goes to engine-c

  Scenario: The copy of a stopped run that can't be resumed is freed
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And 1.2 seconds go by
    And the engine has stopped its run but could not copy it
    Then the copy is freed

  Scenario: An engine that stops a run for its final copy is not taken for one that ended
    Given the engines engine-a
    And a summary with shared parts whose answer began
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And its engine breaks the connection after the head
    Then no endpoint counts as ended

  Scenario: A run whose final copy failed is resumed at its leaving engine only for a short time
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And 1.2 seconds go by
    And the engine has stopped its run but could not copy it
    Then 1 attempts were sent for it

  Scenario Outline: Late news of its leaving shortens the time in which an engine resumes its own run
    Given the engines engine-a
    And <n> other gateways heard from, 3 of them before this one by name
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine copies its run 2 times
    And <seconds> seconds go by
    And the engine has stopped its run but could not copy it
    Then <attempts> attempts were sent for it

    Examples:
      | n  | seconds | attempts |
      | 3  | 0.8     | 2        |
      | 12 | 0.8     | 1        |
      | 12 | 0.3     | 2        |

  Scenario: A stream does not continue at a mirror that refused a connection
    Given the engines engine-a and engine-b
    And a summary that got the events 1 to 10
    When the mirror's address refuses the connection of another summary
    And its engine breaks the connection
    Then the summary fails as generation_lost
    And 1 attempts were sent for it

  Scenario: Streams are mirrored only into spare memory
    Given the engines engine-a and engine-b
    When 16 summaries are sent
    Then some of them have a mirror and mirrors use at most 0.9 of an engine's memory

  Scenario: The copy of a run that has already ended is freed
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the stream ends
    And the engine copies its run 1 times
    Then the copy is freed

  Scenario Outline: A leaving engine's run is copied when its mirror becomes unusable
    Given the engines engine-a and engine-b
    And a summary that got the events 1 to 10
    And an engine engine-c that has just joined
    When the engine that runs it drains
    And <trouble>
    And 0.1 seconds go by
    Then a copy to engine-c was requested

    Examples:
      | trouble                               |
      | its mirror drains                     |
      | the domain of the other engine is out |

  Scenario: A copy goes to an engine of the same failure domain if there is one
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And an engine engine-b that has just joined
    And an engine engine-c in the failure domain of engine-a
    When engine-a drains
    Then a copy to engine-c was requested

  Scenario: A failed copy of a run is retried
    Given the engines engine-a
    And a summary that got the events 1 to 10
    And the engines engine-b
    When engine-a drains
    And the engine could not copy its run
    And 0.3 seconds go by
    Then 2 copies were requested
