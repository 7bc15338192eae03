Feature: An answer that is cut in its head is never taken for a whole one

  Scenario Outline: The head of an answer is cut at each of its bytes
    Given a server whose answer <framing> is cut at each byte of its head
    When <client> calls it until the head is whole
    Then each answer but the last one has failed, and may have run

    Examples:
      | client              | framing          |
      | a platform endpoint | with a length    |
      | a platform endpoint | without a length |
      | an engine           | with a length    |
      | an engine           | without a length |
      | a service           | with a length    |
      | a service           | without a length |
      | a store             | with a length    |
      | a store             | without a length |
