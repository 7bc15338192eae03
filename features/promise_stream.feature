Feature: Each token reaches the caller once, in order, from one generation

  Each row is a fault, each column the step of the request at which it occurs.

  Scenario Outline: A generation and <fault>
    When "<fault>" occurs at each step of a generation
      | decode | dispatch | sent | queued | admitted | first | mid | last | ended |
    Then every promise holds, and the last answer is
      | decode | dispatch | sent | queued | admitted | first | mid | last | ended |
      | <decode> | <dispatch> | <sent> | <queued> | <admitted> | <first> | <mid> | <last> | <ended> |

    Examples:
      | fault                           | decode | dispatch | sent    | queued  | admitted | first | mid   | last  | ended |
      | gateway killed                  | whole  | whole    | whole   | whole   | whole    | whole | whole | whole | whole |
      | two gateways killed             | whole  | whole    | whole   | whole   | whole    | whole | whole | whole | whole |
      | gateway killed, platform down   | whole  | whole    | whole   | whole   | whole    | whole | whole | whole | whole |
      | sidecar killed                  | whole  | whole    | whole   | whole   | whole    | lost  | lost  | lost  | lost  |
      | endpoint killed                 | whole  | whole    | whole   | whole   | whole    | lost  | lost  | lost  | whole |
      | gateway frozen for 4 s          | whole  | refused  | whole   | whole   | whole    | whole | whole | whole | whole |
      | gateway frozen for 20 s         | whole  | whole    | whole   | whole   | whole    | whole | whole | whole | whole |
      | gateway frozen past retention   | whole  | refused  | whole   | whole   | whole    | lost  | lost  | lost  | lost  |
      | sidecar frozen for 4 s          | whole  | whole    | whole   | whole   | whole    | whole | whole | whole | whole |
      | sidecar frozen for 20 s         | whole  | whole    | whole   | whole   | whole    | lost  | lost  | lost  | whole |
      | sidecar frozen, domain out      | whole  | whole    | whole   | whole   | whole    | lost  | lost  | lost  | whole |
      | frozen sidecar replaced         | whole  | whole    | whole   | whole   | whole    | lost  | lost  | lost  | whole |
      | connection cut                  | whole  | whole    | whole   | whole   | whole    | whole | whole | whole | whole |
      | connection silent               | whole  | whole    | whole   | whole   | whole    | whole | whole | whole | whole |
      | silent, endpoint killed         | whole  | whole    | whole   | whole   | whole    | lost  | lost  | lost  | whole |
      | connection delayed              | whole  | whole    | whole   | whole   | whole    | whole | whole | whole | whole |
      | network parted for 20 s         | whole  | refused  | unknown | unknown | unknown  | lost  | lost  | lost  | lost  |
      | platform down                   | whole  | whole    | whole   | whole   | whole    | whole | whole | whole | whole |
      | platform slow                   | whole  | whole    | whole   | whole   | whole    | whole | whole | whole | whole |
      | reply of the platform lost      | whole  | whole    | whole   | whole   | whole    | whole | whole | whole | whole |
      | failure domain out              | whole  | whole    | whole   | whole   | whole    | whole | whole | whole | whole |
      | gateway stopped                 | whole  | whole    | whole   | whole   | whole    | whole | whole | whole | whole |
      | sidecar stopped                 | whole  | whole    | whole   | whole   | whole    | whole | whole | whole | whole |
      | caller gone                     | whole  | whole    | whole   | whole   | whole    | whole | whole | whole | whole |
      | caller back at the same gateway | whole  | whole    | whole   | whole   | whole    | whole | whole | whole | whole |

  Scenario: A caller that reconnects to an unknown endpoint is answered
    Given a generation at the step mid-stream
    When the caller reconnects with the name of an unknown endpoint
    Then the answer is lost
