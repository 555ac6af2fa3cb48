Feature: Every request ends with exactly one true outcome
  "Not run" is said only where nothing ran, and a caller who gets an answer
  gets the whole answer to its own request.

  Background:
    Given the deployment is whole

  Scenario: All targets refuse
    Given every target refuses calls
    When order "refused" is sent through host-1
    Then the answer to "refused" says "not-run"
    And the answer to "refused" tells when to come back
    And "refused" ran 0 times

  Scenario: All targets fail after running
    Given every target fails after running
    When order "failed" is sent through host-2
    Then the answer to "failed" says "answered by the target"
    And "failed" ran 1 time

  Scenario: No engine answers
    Given every engine is silent
    When chat "silent" is sent through host-1 with 9000 ms to spare
    Then the answer to "silent" says "unknown"

  Scenario: One engine is silent
    Given engine-2 is silent
    When 6 chats are sent through host-1
    Then each of them is whole and the same as an uncut chat

  Scenario Outline: An engine fails in the middle of a stream
    Given stream "<name>" runs through <host>
    When the engine that runs it <fails>
    Then "<name>" is whole and the same as an uncut chat

    Examples:
      | name    | host   | fails                  |
      | cut     | host-1 | cuts its streams       |
      | stalled | host-2 | stalls its streams     |
      | lost    | host-3 | loses its connections  |
      | crashed | host-1 | is killed              |

  Scenario: Engines mix up their streams
    Given every engine begins its next 2 streams with another's events
    When 6 chats are sent through host-2
    Then each of them is whole and the same as an uncut chat

  Scenario: Connections go silent for good while new ones work
    Given 6 chats are sent through host-3
    When every engine loses its connections
    And 6 chats are sent through host-3
    Then each of them is whole and the same as an uncut chat

  Scenario: All engines are gone
    When every engine is killed
    And chat "gone" is sent through host-2 with 9000 ms to spare
    Then the answer to "gone" says "not-run"
    And the answer to "gone" tells when to come back
