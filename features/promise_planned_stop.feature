Feature: A planned stop cuts off no request

  Scenario Outline: A stopping sidecar exits only after its last answer was read
    Given a <kind> at the step <step>
    When the sidecar is stopped while its answers are held back
    Then every promise holds

    Examples:
      | kind        | step                        |
      | generation  | mid-stream                  |
      | badge issue | begun                       |
      | badge issue | dispatched and not received |
