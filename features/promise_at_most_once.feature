Feature: A request marked non-idempotent runs at most once

  Each row is a fault, each column the step of the request at which it occurs.
  The caller sends its badge issue again, with the same key, when its gateway
  is lost.

  Scenario Outline: A badge issue and <fault>
    When "<fault>" occurs at each step of a badge issue
      | decode | claimed | dispatch | sent | queued | admitted | begun | ended |
    Then every promise holds, and the last answer is
      | decode | claimed | dispatch | sent | queued | admitted | begun | ended |
      | <decode> | <claimed> | <dispatch> | <sent> | <queued> | <admitted> | <begun> | <ended> |

    Examples:
      | fault                           | decode  | claimed | dispatch | sent    | queued  | admitted | begun   | ended   |
      | gateway killed                  | whole   | busy    | whole    | busy    | busy    | busy     | busy    | busy    |
      | two gateways killed             | whole   | busy    | busy     | busy    | busy    | busy     | busy    | busy    |
      | gateway killed, platform down   | whole   | refused | refused  | refused | refused | refused  | refused | refused |
      | sidecar killed                  | whole   | whole   | whole    | unknown | unknown | unknown  | unknown | unknown |
      | endpoint killed                 | whole   | whole   | whole    | whole   | whole   | whole    | unknown | whole   |
      | gateway frozen for 4 s          | whole   | whole   | refused  | whole   | whole   | whole    | whole   | whole   |
      | gateway frozen for 20 s         | whole   | busy    | whole    | busy    | busy    | busy     | busy    | busy    |
      | gateway frozen past retention   | whole   | whole   | refused  | whole   | unknown | whole    | unknown | unknown |
      | sidecar frozen for 4 s          | whole   | whole   | whole    | whole   | whole   | whole    | whole   | whole   |
      | sidecar frozen for 20 s         | whole   | unknown | whole    | unknown | unknown | unknown  | unknown | whole   |
      | sidecar frozen, domain out      | whole   | whole   | whole    | unknown | unknown | unknown  | unknown | whole   |
      | frozen sidecar replaced         | whole   | unknown | whole    | unknown | unknown | unknown  | unknown | whole   |
      | connection cut                  | whole   | whole   | whole    | whole   | whole   | whole    | whole   | whole   |
      | connection silent               | whole   | whole   | whole    | whole   | whole   | whole    | whole   | whole   |
      | silent, endpoint killed         | whole   | whole   | whole    | whole   | whole   | whole    | unknown | whole   |
      | connection delayed              | whole   | whole   | whole    | whole   | whole   | whole    | whole   | whole   |
      | network parted for 20 s         | whole   | refused | refused  | unknown | unknown | unknown  | unknown | unknown |
      | platform down                   | refused | whole   | refused  | whole   | whole   | whole    | whole   | whole   |
      | platform slow                   | whole   | whole   | whole    | whole   | whole   | whole    | whole   | whole   |
      | reply of the platform lost      | whole   | whole   | whole    | whole   | whole   | whole    | whole   | whole   |
      | failure domain out              | whole   | whole   | whole    | whole   | whole   | whole    | whole   | whole   |
      | gateway stopped                 | whole   | whole   | whole    | whole   | whole   | whole    | whole   | whole   |
      | sidecar stopped                 | whole   | whole   | whole    | whole   | whole   | whole    | whole   | whole   |
      | caller gone                     | whole   | whole   | whole    | whole   | whole   | whole    | whole   | whole   |
      | caller back at the same gateway | whole   | whole   | whole    | whole   | whole   | whole    | whole   | whole   |

  Scenario Outline: An idempotency key can be reused once its request is known not to have run
    Given a badge issue at the step <step>
    When the fault "caller gone" occurs
    And all work is finished
    Then the next answer with the same key is whole

    Examples:
      | step                        |
      | after the claim is written  |
      | dispatched and not received |
      | received and not admitted   |

  Scenario: A refusal that arrives while the caller disconnects starts no other attempt
    Given a badge issue at the step dispatched and not received
    When the sidecar refuses the request while the caller disconnects
    And all work is finished
    Then the request was run 0 times
    And the next answer with the same key is whole

  Scenario: A claim that is answered after the deadline is released
    Given a badge issue at the step before decode
    When the claim of a request is not answered before its deadline
    And all work is finished
    Then the request was run 0 times
    And the next answer with the same key is whole
