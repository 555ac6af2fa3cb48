Feature: A non-idempotent order runs at most once
  Executions are counted in the logs of the application targets.

  Background:
    Given the deployment is healthy

  Scenario: The host dies between the claim and the answer
    Given every target takes 2000 ms to respond
    And order "killed" is running through host-1
    When host-1 is killed
    And order "killed" is sent again through host-2
    Then the outcome of "killed" is "unknown"
    When host-1 is started again
    And order "killed" is sent again through host-3
    Then the outcome of "killed" is "unknown"
    And "killed" ran 1 time

  Scenario Outline: The platform's answer to the claim is lost
    Given the platform loses the responses to <count> writes and <then>
    When order "<name>" is sent through host-1
    And the platform comes back
    And order "<name>" is sent through host-2 until it completes
    Then "<name>" ran 1 time
    And the responses to "<name>" match its executions

    Examples:
      | name      | count | then                   |
      | cut-1     | 1     | cuts the connections   |
      | cut-2     | 2     | cuts the connections   |
      | cut-8     | 8     | cuts the connections   |
      | hanging-2 | 2     | holds the connections  |
      | hanging-8 | 8     | holds the connections  |

  Scenario: The platform is down
    Given the platform is down
    When order "outage" is sent through host-1
    Then the outcome of "outage" is "not-run"
    And the response to "outage" has a retry delay
    And "outage" ran 0 times
    When the platform comes back
    And order "outage" is sent through host-2 until it completes
    Then "outage" ran 1 time

  Scenario: The target crashes after it ran the order
    Given every target drops its next call after running it
    When order "dropped" is sent through host-1
    Then the outcome of "dropped" is "unknown"
    When the targets work again
    And order "dropped" is sent again through host-2
    Then the outcome of "dropped" is "unknown"
    And "dropped" ran 1 time

  Scenario: A PUT that may not be repeated loses its connection
    Given an operator executes "set route prints for service app path /prints repeatable no"
    And every target drops its next call after running it
    When "print" is put to /apps/app/prints through host-1
    Then the outcome of "print" is "unknown"
    And "print" ran 1 time

  Scenario Outline: The same order comes through all hosts at once
    When <count> orders are sent through all hosts at once with seed <seed>
    Then each of them ran 1 time
    And the responses to them match their executions

    Examples:
      | count | seed |
      | 10    | 1    |
      | 10    | 2    |
      | 10    | 3    |
