Feature: A sidecar orders its endpoint to load the models of the plan

  Rule: One fault at each step of an order

    Scenario Outline: An endpoint that <checking> the number reaches the plan when <fault>
      Given a sidecar beside an endpoint that <checking> the fencing number
      And the endpoint has reached plan 10 with model scribe
      When plan 20 with model radgjafi is pushed
      And <fault>
      And 10 seconds pass without faults
      Then the endpoint holds radgjafi by order 20
      And the gateway was told that the endpoint holds radgjafi
      And no order had a lower number than one already acted on

      Examples:
        | checking | fault                                          |
        | checks   | no fault occurs                                |
        | checks   | the query for the state is not answered        |
        | checks   | the order never arrives                        |
        | checks   | the order takes effect and its reply is lost   |
        | checks   | the sidecar restarts before the order          |
        | checks   | the sidecar restarts after the order           |
        | checks   | an older plan 15 is pushed late                |
        | checks   | an order 15 of another sender arrives late     |
        | ignores  | no fault occurs                                |
        | ignores  | the query for the state is not answered        |
        | ignores  | the order never arrives                        |
        | ignores  | the order takes effect and its reply is lost   |
        | ignores  | the sidecar restarts before the order          |
        | ignores  | the sidecar restarts after the order           |
        | ignores  | an older plan 15 is pushed late                |
        | ignores  | an order 15 of another sender arrives late     |

    Scenario: An endpoint that checks the number refuses an old order
      Given a sidecar beside an endpoint that checks the fencing number
      And the endpoint has reached plan 20 with model scribe
      When an order 15 of another sender arrives late
      Then the endpoint refused the order

    Scenario Outline: A restarted sidecar never orders below what its endpoint reports
      Given a sidecar beside an endpoint that <checking> the fencing number
      And the endpoint has reached plan 20 with model scribe
      When the sidecar restarts
      And plan 10 with model radgjafi is pushed
      And 10 seconds pass without faults
      Then the endpoint holds scribe by order 20
      And no order had a lower number than one already acted on

      Examples:
        | checking |
        | checks   |
        | ignores  |

    Scenario: An order that is in effect is not sent again
      Given a sidecar beside an endpoint that checks the fencing number
      And the endpoint has reached plan 20 with model scribe
      When 60 seconds pass without faults
      Then the endpoint got 1 order
      And the endpoint's state was queried at most 50 times

    Scenario: An endpoint that accepts an order without following it is ordered again periodically
      Given a sidecar beside an endpoint that accepts orders and forgets them
      When plan 20 with model scribe is pushed
      And 60 seconds pass without faults
      Then the endpoint got from 20 to 35 orders

    Scenario: A model that is loading is not reported as loaded
      Given a sidecar beside an endpoint whose weights take 5 seconds
      When plan 20 with model scribe is pushed
      And 4 seconds pass without faults
      Then the gateway was told that the endpoint holds nothing
      When 4 seconds pass without faults
      Then the gateway was told that the endpoint holds scribe

    Scenario: Orders keep the promises under random sequences of events
      When 200 seeded histories of 60 events are played to a sidecar
      Then no history broke a promise

  Rule: Over sockets

    @fixture.ordered_engines
    Scenario: A plan reaches the endpoints and requests go where the model is loaded
      Then within 30 seconds each engine holds one of the two models
      And requests for either model are answered by an engine that holds it

    @fixture.ordered_engines
    Scenario: The last plan stays in force while the table is down
      Given each engine holds one of the two models
      When the table is down for longer than the lease
      And another sender sends every engine an outdated order
      Then within 10 seconds each engine that ignores the number follows the plan again
      And requests for either model are answered by an engine that holds it

    @fixture.ordered_engines
    Scenario Outline: A fault between the plan and an engine that <checking> the number
      Given each engine holds one of the two models
      When a new plan is written and at the engine that <checking> the number <fault>
      Then within 20 seconds every engine follows the new plan
      And no engine received an order with a lower number than the one before

      Examples:
        | checking | fault                                   |
        | checks   | the reply to the order is lost          |
        | ignores  | the reply to the order is lost          |
        | checks   | the sidecar is replaced                 |
        | ignores  | the sidecar is replaced                 |
