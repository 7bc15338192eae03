Feature: One planner at a time decides which models endpoints hold

  Rule: The lease

    @fixture.planners
    Scenario: Planners compete for a free lease and one takes it
      When 3 planners run for 60 seconds
      Then one of them holds the lease
      And only that one has written plans
      And no promise was broken

    @fixture.planners
    Scenario Outline: A holder that was paused past its lease does no harm when it resumes
      Given the first planner holds the lease and was paused with <step>
      When the second planner runs for 60 seconds
      And the first planner is resumed
      Then the second planner holds the lease
      And the first planner's late write had no effect
      And no promise was broken

      Examples:
        | step                                  |
        | nothing under way                     |
        | a renewal decided and not sent        |
        | a renewal past its check and not sent |
        | a plan decided and not sent           |
        | a plan past its check and not sent    |
        | a plan written and its reply not read |

    @fixture.planners
    Scenario Outline: A write that was decided before the lease expired is not sent afterwards
      Given the first planner holds the lease and was paused with <step>
      When 60 seconds pass with no planner running
      And the first planner is resumed
      Then its late write did not reach the table

      Examples:
        | step                           |
        | a renewal decided and not sent |
        | a plan decided and not sent    |

    @fixture.planners
    Scenario Outline: A lost reply to a write is resolved by reading the row back
      Given the first planner has <held>
      When the reply to its next write of <write> is lost after it took effect
      And the first planner runs for 5 seconds
      Then it recognises that write as its own and holds the lease
      And no promise was broken

      Examples:
        | held           | write       |
        | seen the table | the lease   |
        | the lease      | the lease   |
        | the lease      | a plan      |

    @fixture.planners
    Scenario: While the table is down the last plan stays in force
      Given the first planner holds the lease and has written a plan
      When the table is down for 120 seconds
      Then each planner tried to write at most 100 times
      And no planner holds the lease
      And every planner still has the last plan in force
      When the table is back and all planners run for 60 seconds
      Then one of them holds the lease
      And the plan in force is newer on every planner
      And the table was written at most 60 times since the end of the outage
      And no promise was broken

    @fixture.planners
    Scenario: A plan row that another writer changed is not overwritten
      Given the first planner holds the lease and has written a plan
      When the plan's row changes after its next plan is decided and before it is written
      Then the row keeps the change
      And the first planner runs for 10 seconds and builds on the change

    @fixture.planners
    Scenario: A new planner waits for the old lease to expire and the longest order to end
      Given the first planner holds the lease and has written a plan
      When the first planner is killed and the second runs for 60 seconds
      Then the second planner took the lease from 15 to 24 seconds after the last renewal
      And it wrote its first plan at least 6 seconds after taking the lease
      And no promise was broken

    @fixture.planners
    Scenario: A planner that stops releases its lease
      Given the first planner holds the lease and has written a plan
      When the first planner is asked to stop
      And the second planner runs for 8 seconds
      Then the second planner holds the lease
      And no promise was broken

    Scenario: Planners keep the promises under random sequences of events
      When 150 seeded histories of 60 events are played to planners
      Then no history broke a promise

  Rule: The placement

    Scenario Outline: A plan follows the demand
      Given <n_endpoints> idle endpoints in <n_domains> failure domains
      And the models <models>
      When a plan is made
      Then <expectation>

      Examples:
        | n_endpoints | n_domains | models                       | expectation                               |
        | 6           | 3         | scribe                       | all endpoints hold scribe                 |
        | 6           | 3         | scribe, radgjafi             | every model has at least 2 replicas       |
        | 6           | 3         | scribe, radgjafi             | every open model is in 2 failure domains  |
        | 2           | 2         | scribe, radgjafi, vision     | every model has at least 1 replicas       |
        | 4           | 2         | scribe, radgjafi             | every open model is in 2 failure domains  |
        | 4           | 2         | scribe, closed radgjafi      | every open model is in 2 failure domains  |
        | 4           | 2         | scribe, radgjafi             | a second plan moves 0 endpoints           |

    Scenario Outline: Endpoints change models only for a clear gain
      Given 12 idle endpoints in 3 failure domains
      And the models scribe, radgjafi
      When a plan is made
      And the utilisation of scribe is <scribe> and of radgjafi <radgjafi> for 20 plans
      Then from <least> to <most> endpoints have moved

      Examples:
        | case                  | scribe | radgjafi | least | most |
        | steady                | 0.5    | 0.5      | 0     | 0    |
        | one is busy           | 1.2    | 0.1      | 1     | 4    |
        | both are saturated    | 2.0    | 2.0      | 0     | 0    |
        | busy, below the bound | 0.8    | 0.1      | 0     | 0    |

    Scenario: Endpoints that change models are spread over the failure domains
      Given 12 idle endpoints in 3 failure domains
      And the models scribe, radgjafi
      When a plan is made
      And the utilisation of scribe is 1.5 and of radgjafi 0.1 for 20 plans
      Then the replicas of scribe differ by at most 1 between failure domains

    Scenario: Oscillating load makes few endpoints change models
      Given 12 idle endpoints in 3 failure domains
      And the models scribe, radgjafi
      When a plan is made
      And the load swings between the models for 200 plans of 5 seconds
      Then from 0 to 8 endpoints have moved

    Scenario: Loading weights keeps to the weight store's rate
      Given 40 idle endpoints in 3 failure domains
      And the models scribe, radgjafi
      And weights of 10000000000 bytes at 2000000000 bytes a second
      When plans are made every 5 seconds until all endpoints are planned
      Then the planning took from 190 to 205 seconds

    Scenario: New weights are rolled out at the weight store's rate
      Given 12 idle endpoints in 3 failure domains
      And the models scribe, radgjafi
      And weights of 10000000000 bytes at 2000000000 bytes a second
      And a plan for all endpoints
      When the records name other weights for scribe
      Then at most 2 endpoints change in one plan
      And in the end every endpoint of scribe has the new weights

    Scenario: The loss of a failure domain leaves every model with replicas
      Given 6 idle endpoints in 3 failure domains
      And the models scribe, radgjafi
      When a plan is made
      And a failure domain with some but not all replicas of radgjafi goes out of service
      And a plan is made
      Then every model has at least 2 replicas

    Scenario: A retired endpoint leaves the plan
      Given 4 idle endpoints in 2 failure domains
      And the models scribe
      When a plan is made
      And an endpoint is retired
      And a plan is made
      Then the plan contains 3 endpoints

    Scenario Outline: Opening hours decide when a service counts as open
      Given a service that opens on days <days> from <opens> to <closes>
      Then on day <day> at <time> it is <state>

      Examples:
        | days | opens | closes | day | time  | state  |
        | 0    | 08:00 | 16:00  | 0   | 07:39 | closed |
        | 0    | 08:00 | 16:00  | 0   | 07:40 | open   |
        | 0    | 08:00 | 16:00  | 0   | 15:59 | open   |
        | 0    | 08:00 | 16:00  | 0   | 16:00 | closed |
        | 0    | 08:00 | 16:00  | 1   | 09:00 | closed |
        | 6    | 22:00 | 02:00  | 0   | 01:00 | open   |
        | 6    | 22:00 | 02:00  | 0   | 02:00 | closed |
        | 0    | 00:10 | 02:00  | 6   | 23:55 | open   |
