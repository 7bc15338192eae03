Feature: A malformed row, answer or address ends no thread and holds up nothing else

  @fixture.platform_world
  Scenario Outline: A malformed deployment leaves the feed running
    When the deployment is overwritten with <value> and then with a valid version
    Then the valid version is in force

    Examples:
      | value                  |
      | limits that are a list |
      | routes that are a text |
      | deeply nested lists    |
      | a version of 400 digits |
      | a priority of 400 digits |

  @fixture.platform_world
  Scenario Outline: A malformed entry of an endpoint leaves the feed running
    When an endpoint is listed with <field> <value> and then one without faults
    Then the gateway knows only the one without faults

    Examples:
      | field             | value                |
      | slots             | 400 digits           |
      | born              | 400 digits           |
      | cold_remaining_ms | 400 digits           |
      | cold_remaining_ms | 1e999                |
      | slots             | -1                   |
      | state             | deeply nested lists  |
      | address           | "127.0.0.1:0"        |
      | address           | "127.0.0.1:65536"    |
      | address           | "127.0.0.1:99999"    |
      | address           | "10.0.0.256:80"      |
      | address           | "10.0.0.01:80"       |
      | address           | "10.0.0:80"          |
      | address           | "0.0.0.0:80"         |
      | address           | "255.255.255.255:80" |
      | address           | "127.0.0.1:8_0"      |
      | address           | 80                   |

  @fixture.platform_world
  Scenario: A feed goes on after an error that nobody expected
    Given a decoder of entries that fails once
    When an endpoint is listed with slots 6 and then one without faults
    Then the gateway knows the one without faults

  Scenario Outline: A malformed answer is an error of the closed list
    When a process decodes <answer>
    Then the error has a kind of the closed list

    Examples:
      | answer                               |
      | a report whose state is a list       |
      | a report of deeply nested lists      |
      | a store's answer of deep lists       |
      | a claim without its fields           |
      | a claim that is a list               |
      | a store's answer with a huge clock   |

  Scenario: A gateway whose row has a malformed address holds up no datagram
    When frames are sent to the addresses "nowhere" and "127.0.0.1:many"
    And frames are sent to the addresses "127.0.0.1:99999" and "127.0.0.1:-1"
    Then none of them raises an error

  Scenario: A peer is connected to after its malformed address was mended
    Given a link to a peer whose address is malformed
    When the address is mended
    Then the link is up

  Scenario: A peer listener goes on after accepting has failed
    Given a peer listener whose next accept fails
    When a peer connects to it
    Then the peer is greeted

  Scenario: A malformed row among records holds back no other record
    Given a table with the rows "records/team", "records/team/a" and one that is no JSON
    When the records are polled
    Then the entry of "a" is put into the inbox
