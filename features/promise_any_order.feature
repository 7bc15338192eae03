Feature: Every promise holds in any order of events

  The orders are generated from a fixed seed, and shrunk when one fails.

  Scenario: Calls, faults and recoveries in any order
    When 120 generated orders of up to 30 events are run
    Then every promise held in all 120 orders
