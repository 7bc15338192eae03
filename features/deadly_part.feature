Feature: Real processes keep a part of prompts that ends endpoints from the others

  Scenario Outline: Few prompts with the part reach endpoints, however these end
    When a part of some prompts ends endpoints, which shows as <end>
    Then at most 3 prompts with it reach endpoints once gateways must agree on it
    And prompts without the part are answered

    Examples:
      | end   |
      | close |
      | reset |
      | mute  |
      | event |
