Feature: Every request ends with exactly one true outcome
  The outcome "not-run" is returned only if nothing was executed. A caller that
  gets a response gets the complete response to its own request.

  Background:
    Given the deployment is healthy

  Scenario: All targets refuse
    Given every target refuses calls
    When order "refused" is sent through host-1
    Then the outcome of "refused" is "not-run"
    And the response to "refused" has a retry delay
    And "refused" ran 0 times

  Scenario: All targets fail after running
    Given every target fails after running
    When order "failed" is sent through host-2
    Then the outcome of "failed" is "answered by the target"
    And "failed" ran 1 time

  Scenario: No engine answers
    Given every engine is silent
    When chat "silent" is sent through host-1 with 9000 ms until its deadline
    Then the outcome of "silent" is "unknown"

  Scenario: One engine is silent
    Given engine-2 is silent
    When 6 chats are sent through host-1
    Then each of them is complete and identical to an uninterrupted chat

  Scenario Outline: An engine fails in the middle of a stream
    Given stream "<name>" runs through <host>
    When the engine that runs it <fails>
    Then "<name>" is complete and identical to an uninterrupted chat

    Examples:
      | name    | host   | fails                  |
      | cut     | host-1 | cuts its streams       |
      | stalled | host-2 | stalls its streams     |
      | lost    | host-3 | loses its connections  |
      | crashed | host-1 | is killed              |

  Scenario: Engines mix up their streams
    Given every engine begins its next 2 streams with another's events
    When 6 chats are sent through host-2
    Then each of them is complete and identical to an uninterrupted chat

  Scenario: Connections go silent for good while new ones work
    Given 6 chats are sent through host-3
    When every engine loses its connections
    And 6 chats are sent through host-3
    Then each of them is complete and identical to an uninterrupted chat

  Scenario: All engines are gone
    When every engine is killed
    And chat "gone" is sent through host-2 with 9000 ms until its deadline
    Then the outcome of "gone" is "not-run"
    And the response to "gone" has a retry delay
