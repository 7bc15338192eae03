@fixture.platform
Feature: The platform's services are called over HTTP, and failures become platform errors

  Scenario: An object is stored, read and removed
    When an object of 100000 bytes is put
    Then the object can be read
    When the object is deleted twice
    Then there is no object

  Scenario: An object over the size bound is refused before it is sent
    When an object of 16777217 bytes is put
    Then the call fails with body_too_large
    And there is no object

  Scenario Outline: A fault of a service is a platform error
    Given the <service> has the fault <fault>
    When the <service> is called
    Then the call fails with platform_unavailable
    When the faults of the <service> end
    And the <service> is called
    Then the call succeeds

    Examples:
      | service      | fault |
      | table        | down  |
      | objects      | down  |
      | weights      | down  |
      | hosts        | down  |
      | table        | slow  |
      | hosts        | slow  |

  Scenario Outline: A write whose reply is lost took effect
    Given the <service> has the fault lost reply
    When the <service> is written
    Then the call fails with platform_unavailable
    And the write to the <service> took effect

    Examples:
      | service |
      | table   |
      | objects |

  Scenario Outline: A service over its rate limit answers 429 and executes nothing
    Given the <service> allows 10 writes and 20 reads a second
    When the <service> is written 100 times at once
    Then from 20 to 40 writes succeed
    And the <service> holds exactly the writes that succeeded

    Examples:
      | service |
      | table   |
      | objects |

  Scenario: The weight store divides its rate among its readers
    Given a weight store that serves 1000 bytes a second
    When two readers load 4000 bytes each
    Then the loads take from 7.5 to 8.5 seconds of the manual clock
    And every reader that had to wait was told how long

  Scenario: The host list shows changes with a delay
    Given a host list that lags by 5 seconds
    When a host is listed as leaving
    Then the list does not show it for 5 seconds
    And the list shows it after 5 seconds

  Scenario Outline: The host list decides whether an endpoint gets new work
    Given a gateway that receives heartbeats from an endpoint on 10.0.0.1:7000
    When the host list at revision 1 shows <first>
    And the host list at revision <revision> shows <second>
    Then the endpoint gets new work: <gets_work>

    Examples:
      | case                   | first            | revision | second           | gets_work |
      | leaving                | 10.0.0.1 live    | 2        | 10.0.0.1 leaving | no        |
      | leaving by slot        | 10.0.0.1 live    | 2        | 10.0.0.1:7000 leaving | no   |
      | another slot leaves    | 10.0.0.1 live    | 2        | 10.0.0.1:7001 leaving | yes  |
      | another host leaves    | 10.0.0.1 live    | 2        | 10.0.0.11 leaving | yes      |
      | not in the list        | 10.0.0.1 live    | 2        | nothing          | yes       |
      | back again             | 10.0.0.1 leaving | 2        | 10.0.0.1 live    | yes       |
      | an older list is late  | 10.0.0.1 leaving | 1        | 10.0.0.1 live    | no        |

  Scenario: A gateway that can't reach the host list keeps the last one
    Given a gateway that receives heartbeats from an endpoint on 10.0.0.1:7000
    When the host list at revision 1 shows 10.0.0.1 leaving
    And three polls of the host list fail
    Then the endpoint gets new work: no
