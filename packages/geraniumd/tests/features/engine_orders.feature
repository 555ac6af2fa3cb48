Feature: Engines never get conflicting orders

  Background:
    Given the deployment is healthy

  Scenario: Two operators order different roles at once
    When engine-1 is ordered to be decode and prefill at once
    Then engine-1 ends in one of these roles
    And the orders of engine-1 do not conflict

  Scenario Outline: The host of the director fails
    When engine-<number> is ordered to be decode
    Then engine-<number> takes the role decode
    When the director's host <fails>
    And engine-<number> is ordered to be mixed
    Then engine-<number> takes the role mixed
    When the director's former host runs again
    And engine-<number> is ordered to be decode
    Then engine-<number> takes the role decode
    And the orders of engine-<number> do not conflict

    Examples:
      | number | fails     |
      | 1      | is killed |
      | 3      | is frozen |
