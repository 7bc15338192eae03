Feature: A part of a prompt that ends endpoints is kept from the others

  @fixture.edge
  Scenario: Requests with a part on which two endpoints ended reach no third
    Given the engines engine-a and engine-b and engine-c
    When an engine ends as it begins a summary of "group,place,bad,own-1"
    And an engine ends as it begins a summary of "group,place,bad,own-2"
    And a caller sends "group,place,bad,own-3"
    Then the request ends as prompt_quarantined
    And 0 attempts were sent for it

  @fixture.edge
  Scenario Outline: A part is accused as soon as the last answer of its endpoint breaks
    Given the engines engine-a
    And a summary that got the events 1 to 10
    When another gateway reports a crash of engine-z on "group,place,bad"
    And an answer breaks as it begins a summary of "group,place,bad,own-1"
    And the engine <ends> the answer that it was writing
    And a caller sends "group,place,bad,own-2"
    Then the request ends as prompt_quarantined

    Examples:
      | ends                     |
      | breaks                   |
      | refuses, a moment later, |

  @fixture.edge
  Scenario Outline: Sound prompts that share other parts with it are served
    Given the engines engine-a and engine-b and engine-c
    When an engine ends as it begins a summary of "group,place,bad,own-1"
    And an engine ends as it begins a summary of "group,place,bad,own-2"
    And a caller sends "<prefix>"
    Then 1 attempts were sent for it

    Examples:
      | prefix            |
      | group,place,own-3 |
      | group,other,own-3 |
      | group,place,bad   |
      | own-3             |

  @fixture.edge
  Scenario: A part that comes first in different prompts is found as well
    Given the engines engine-a and engine-b and engine-c
    When an engine ends as it begins a summary of "bad,here,own-1"
    And an engine ends as it begins a summary of "bad,there,own-2"
    And a caller sends "bad,elsewhere,own-3"
    Then the request ends as prompt_quarantined
    When a caller sends "good,here,own-4"
    Then 1 attempts were sent for it

  @fixture.edge
  Scenario Outline: Endpoints that end for other reasons accuse no part
    Given the engines engine-a and engine-b and engine-c
    When an engine ends <state> a summary of "group,place,own-1"
    And an engine ends <state> a summary of "group,place,own-2"
    And a caller sends "group,place,own-3"
    Then 1 attempts were sent for it

    Examples:
      | state                |
      | before it begins     |
      | while it writes      |

  @fixture.edge
  Scenario Outline: Requests that got nothing of their answers are suspects once their endpoint has ended
    Given the engines engine-a and engine-b and engine-c
    When <n> engines end before a summary of "group,place,bad" begins, which shows as <sign>
    And a caller sends "group,place,bad,own-9"
    Then <attempts> attempts were sent for it

    Examples:
      | n | sign                | attempts |
      | 3 | a refused connection | 1        |
      | 4 | a refused connection | 0        |
      | 4 | a removed entry      | 0        |
      | 4 | a new incarnation    | 0        |
      | 4 | nothing              | 1        |

  @fixture.edge
  Scenario: Answers lost by an endpoint that goes on accuse no part
    Given the engines engine-a and engine-b and engine-c
    When 4 engines lose the answer to a summary of "group,place,bad" and go on
    And a caller sends "group,place,bad,own-9"
    Then 1 attempts were sent for it

  @fixture.edge
  Scenario: An answer that breaks soon after its first event is a suspect once its endpoint has ended
    Given the engines engine-a and engine-b and engine-c
    When 4 engines end 0.3 seconds after the first event of a summary of "group,place,bad"
    And a caller sends "group,place,bad,own-9"
    Then the request ends as prompt_quarantined

  @fixture.edge
  Scenario: What is sent to an endpoint that has ended already is no suspect
    Given the engines engine-a
    When 4 engines end before a summary of "group,place,bad" begins, and later break one of "other,sound"
    And a caller sends "other,sound,own-9"
    Then 1 attempts were sent for it
    When a caller sends "group,place,bad,own-9"
    Then the request ends as prompt_quarantined

  @fixture.edge
  Scenario: The part that ends an engine is found among many requests that wait there
    Given the engines engine-a
    When other gateways report 4 crashes with 20 possible suspects, one of them with "bad"
    And 1.2 seconds go by
    And a caller sends "group,place,bad,own-9"
    Then the request ends as prompt_quarantined

  @fixture.edge
  Scenario: A shared part that was accused first is released when another one explains it
    Given the engines engine-a
    When other gateways report 4 possible crashes on "group,place", of which 3 also on "group,place,bad"
    And a caller sends "group,place,own-1"
    Then the request ends as prompt_quarantined
    When other gateways report 4 possible crashes on "other,spot,bad"
    And a caller sends "group,place,own-2"
    Then 1 attempts were sent for it
    When a caller sends "group,place,bad,own-3"
    Then the request ends as prompt_quarantined

  @fixture.edge
  Scenario: Crashes with an accused part still count for one that explains more of them
    Given the engines engine-a
    When other gateways report 4 possible crashes on "group,place", of which 3 also on "group,spot,bad"
    And other gateways report 1 possible crashes on "other,spot,bad"
    And a caller sends "group,place,own-1"
    Then 1 attempts were sent for it
    When a caller sends "else,bad,own-2"
    Then the request ends as prompt_quarantined

  @fixture.edge
  Scenario: Possible suspects are reported to the others and count there
    Given the engines engine-a
    And 3 other gateways
    When 1 engines end before a summary of "group,place,bad" begins, which shows as a refused connection
    Then 3 gateways were told of a possible suspect
    When another gateway reports a possible crash of engine-x on "group,place,bad"
    And another gateway reports a possible crash of engine-y on "group,place,bad"
    And another gateway reports a possible crash of engine-z on "group,place,bad"
    And a caller sends "group,place,bad,own-8"
    Then 1 attempts were sent for it
    When 1.2 seconds go by
    And a caller sends "group,place,bad,own-9"
    Then the request ends as prompt_quarantined

  @fixture.edge
  Scenario: What may have ended an endpoint before is not resumed at a mirror
    Given the engines engine-a and engine-b
    When another gateway reports a possible crash of engine-y on "group,place,bad"
    And an engine ends before it begins a summary of "group,place,bad,own-1"
    Then 1 attempts were sent for it

  @fixture.edge
  Scenario Outline: A stream whose part was accused meanwhile goes to no other engine
    Given the engines engine-a and engine-b and engine-c
    When a caller sends "group,place,bad,own-0" and gets events for 1.2 seconds
    And other gateways report <n> crashes on "bad"
    And its engine <ends>
    Then <attempts> attempts were sent for it
    And <copies> copies of it were requested

    Examples:
      | n | ends   | attempts | copies |
      | 4 | breaks | 1        | 0      |
      | 4 | leaves | 1        | 0      |
      | 0 | breaks | 2        | 0      |
      | 0 | leaves | 1        | 1      |

  @fixture.edge
  Scenario: One crash accuses no part
    Given the engines engine-a and engine-b
    When an engine ends as it begins a summary of "group,place,own-1"
    And a caller sends "group,place,own-2"
    Then 1 attempts were sent for it

  @fixture.edge
  Scenario: A broken answer at an endpoint that goes on with others accuses no part
    Given the engines engine-a
    And a summary that got the events 1 to 10
    When an engine breaks an answer as it begins a summary of "group,place,own-1"
    And an engine breaks an answer as it begins a summary of "group,place,own-2"
    And a caller sends "group,place,own-3"
    Then 1 attempts were sent for it

  @fixture.edge
  Scenario: An answer that goes on acquits the parts of its prompt
    Given the engines engine-a and engine-b and engine-c
    When an engine ends as it begins a summary of "group,place,own-1"
    And a summary of "group,place,own-2" goes on for 1.2 seconds
    And an engine ends as it begins a summary of "group,place,own-3"
    And a caller sends "group,place,own-4"
    Then 1 attempts were sent for it

  @fixture.edge
  Scenario Outline: An answer that had begun before the crashes acquits no part
    Given the engines engine-a and engine-b and engine-c
    When a caller sends "group,place,own-0" and gets events for 0.3 seconds
    And other gateways report <n> crashes on "place"
    And 0.6 seconds go by
    And a caller sends "group,place,own-1"
    Then the request ends as <outcome>

    Examples:
      | n | outcome            |
      | 1 | open               |
      | 2 | prompt_quarantined |

  @fixture.edge
  Scenario: The others are not told of sound parts that nobody suspects
    Given the engines engine-a and engine-b and engine-c
    And 3 other gateways
    When a summary of "group,place,own-1" goes on for 1.2 seconds
    Then 0 gateways were told of suspected parts

  @fixture.edge
  Scenario: The others are told of a suspected part that is sound
    Given the engines engine-a and engine-b and engine-c
    And 3 other gateways
    When an engine ends as it begins a summary of "group,place,own-1"
    And a summary of "group,place,own-2" goes on for 1.2 seconds
    Then 3 gateways were told of suspected parts

  @fixture.edge
  Scenario: A part that was sound before is accused by four crashes
    Given the engines engine-a and engine-b and engine-c
    When a summary of "group,place,own-1" goes on for 1.2 seconds
    And 3 endpoints end as they begin summaries of "group,place"
    And a caller sends "group,place,own-5"
    Then 1 attempts were sent for it
    When it is answered
    And another gateway reports a crash of engine-z on "group,place"
    And a caller sends "group,place,own-6"
    Then the request ends as prompt_quarantined

  @fixture.edge
  Scenario: A stream that may have ended its endpoint is not resumed at its mirror
    Given the engines engine-a and engine-b
    When an engine ends as it begins a summary of "group,place,bad,own-1"
    Then 1 attempts were sent for it
    And the request ends as generation_lost

  @fixture.edge
  Scenario: What was sent or waits when a part is accused is ended before it begins
    Given the engines engine-a and engine-b and engine-c
    When a caller sends "group,place,bad,own-0" and waits
    And an engine ends as it begins a summary of "group,place,bad,own-1"
    And another gateway reports a crash of engine-z on "group,place,bad"
    Then the first attempt is cancelled
    And the first request ends as outcome_unknown

  @fixture.edge
  Scenario: What waits for capacity when a part is accused is refused at once
    Given the engines engine-a
    When 12 summaries are sent
    And a caller sends "group,place,bad,own-1"
    And another gateway reports a crash of engine-y on "group,place,bad"
    Then the request ends as open
    When another gateway reports a crash of engine-z on "group,place,bad"
    Then the request ends as prompt_quarantined
    And 0 attempts were sent for it

  @fixture.edge
  Scenario Outline: A draft that may run twice is not retried once it may have ended its engine
    Given the engines engine-a and engine-b
    When an engine <breaks> the answer to a draft of "group,place,bad,own-1"
    Then <attempts> attempts were sent for it

    Examples:
      | breaks                     | attempts |
      | ends as it begins          | 1        |
      | ends before it begins      | 2        |

  @fixture.edge
  Scenario: Crashes that other gateways report accuse as well, each once
    Given the engines engine-a and engine-b
    When another gateway reports a crash of engine-y on "group,place,bad"
    And another gateway reports a crash of engine-y on "group,place,bad"
    And a caller sends "group,place,bad,own-1"
    Then 1 attempts were sent for it
    When it is answered
    And another gateway reports a crash of engine-z on "group,place,bad"
    And a caller sends "group,place,bad,own-2"
    Then the request ends as prompt_quarantined

  @fixture.edge
  Scenario: A crash is reported to all gateways, and again within the time to agree
    Given the engines engine-a and engine-b
    And 3 other gateways
    When an engine ends as it begins a summary of "group,place,bad,own-1"
    Then each of 3 gateways got 3 reports of the crash
    When 3 seconds go by
    Then each of 3 gateways got 4 reports of the crash

  @fixture.edge
  Scenario: A gateway that starts asks the others for their reports
    Given 3 other gateways
    When 4 seconds go by
    Then each of 3 gateways was asked 3 times for its reports
    When another gateway reports a crash of engine-y on "group,place,bad"
    And a gateway asks for the reports
    Then it gets 1 reports of crashes

  @fixture.edge
  Scenario: One request is tried after a minute, and the next one later
    Given the engines engine-a
    When another gateway reports a crash of engine-y on "group,place,bad"
    And another gateway reports a crash of engine-z on "group,place,bad"
    And 59 seconds go by
    And a caller sends "group,place,bad,own-1"
    Then the request ends as prompt_quarantined
    When 2 seconds go by
    And a caller sends "group,place,bad,own-2"
    Then 1 attempts were sent for it
    When a caller sends "group,place,bad,own-3"
    Then the request ends as prompt_quarantined
    When 200 seconds go by
    And a caller sends "group,place,bad,own-4"
    Then the request ends as prompt_quarantined

  @fixture.edge
  Scenario: Of all gateways one tries an accused part
    Given 4 gateways that know one another and 2 crashes on "group,place,bad"
    When 61 seconds later each of them gets "group,place,bad,own-1"
    Then 1 attempts were sent by all of them

  @fixture.edge
  Scenario Outline: A gateway that only hears of a failed trial waits as long for the next
    Given the engines engine-a
    When another gateway reports a crash of engine-y on "group,place,bad"
    And another gateway reports a crash of engine-z on "group,place,bad"
    And 60 seconds go by
    And another gateway reports a crash of engine-x on "group,place,bad"
    And <seconds> seconds go by
    And a caller sends "group,place,bad,own-1"
    Then <attempts> attempts were sent for it

    Examples:
      | seconds | attempts |
      | 230     | 0        |
      | 250     | 1        |

  @fixture.edge
  Scenario: A tried part that is sound is released
    Given the engines engine-a
    When another gateway reports a crash of engine-y on "group,place,bad"
    And another gateway reports a crash of engine-z on "group,place,bad"
    And 61 seconds go by
    And a summary of "group,place,bad,own-1" goes on for 1.2 seconds
    And a caller sends "group,place,bad,own-2"
    Then 1 attempts were sent for it

  @fixture.edge
  Scenario: The memory of crashes is bounded
    Given the engines engine-a
    When another gateway reports 500 crashes on different parts
    Then at most 64 crashes are known

  @fixture.edge
  Scenario: The memory of accused parts is bounded
    Given the engines engine-a
    When another gateway reports 2 crashes on each of 300 parts
    Then at most 256 parts are accused

  Scenario: The ids of parts that a caller sends are bounded
    When a caller sends a prompt of 100 parts with ids of 100 characters
    Then its parts are at most 32 ids of at most 64 characters

  @fixture.platform_world
  Scenario Outline: Endpoints that end after the head of an answer are spared a third request
    Given an endpoint that answers with <head> and then closes
    And an endpoint that answers with <head> and then closes
    And an endpoint that answers with <head> and then closes
    When 3 callers of the platform send prompts of "group,place,bad", one after the other
    Then the endpoints got 2 requests in all
    And the last caller gets status 503 and is told when to come back

    Examples:
      | head                                     |
      | the head of a stream                     |
      | the head of a stream without length      |
