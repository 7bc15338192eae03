Feature: A part of a stream without length or chunks never passes for the whole

  The engine that runs the streams leaves. It stops each run for its final copy and closes
  the stream, 0.15 s later, without a sign of its end.

  Scenario Outline: Streams whose engine answers the orders of final copies <answers>
    Given a gateway process and an engine whose streams have no length
    And 10 streams that have begun
    When the engine leaves and answers the orders of final copies <answers>
    Then no part of a stream passes for the whole
    And <n> streams are whole

    Examples:
      | answers                                       | n  |
      | soundly                                       | 10 |
      | not at all                                    | 10 |
      | not at all, then soundly                      | 10 |
      | never, then soundly                           | 10 |
      | unreadably, then soundly                      | 10 |
      | with 503 and no handle                        | 10 |
      | with 503 and no handle, then soundly          | 10 |
      | with 409, then soundly                        | 10 |
      | with 404 as the run has finished              | 10 |
      | with 404 as another process                   | 1  |

  Scenario Outline: Streams whose engine ends and <how> are not whole
    Given a gateway process and an engine whose streams have no length
    And 10 streams that have begun
    When the engine ends and <how>
    Then no part of a stream passes for the whole
    And 0 streams are whole

    Examples:
      | how                                     |
      | another one answers at its address      |
      | nothing listens at its address          |
      | goes on listening for 0.1 s             |

  Scenario: Streams whose engine stops at their deadline are not whole
    Given a gateway process and an engine whose streams have no length
    And 10 streams with a deadline of 1.5 s that have begun
    When nothing disturbs the engine
    Then no part of a stream passes for the whole
    And 0 streams are whole

  Scenario: Streams without a length that end by themselves are whole
    Given a gateway process and an engine whose streams have no length
    And 10 streams that have begun
    When nothing disturbs the engine
    Then 10 streams are whole
