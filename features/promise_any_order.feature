Feature: Every promise holds under random sequences of events

  The sequences are generated from a fixed seed, and a failing one is shrunk.

  Scenario: Calls, faults and recoveries in random sequences
    When 120 generated orders of up to 30 events are run
    Then every promise held in all 120 orders
