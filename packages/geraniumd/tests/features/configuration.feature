Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given the deployment is healthy

  Scenario: A change comes into force on all hosts
    When operator ann orders "set team registry weight 2" as change "c1"
    Then change "c1" is in force on every host

  Scenario: Two operators race for one version
    When ann and bob each order a weight at the present version at once
    Then one of them succeeds and the other gets the name of the first

  Scenario: The answer to the write of a change is lost
    Given the platform loses the responses to 4 writes and cuts the connections
    When operator ann orders "set team registry weight 3" as change "c2"
    And the platform comes back
    And operator ann orders "set team registry weight 3" as change "c2"
    And operator bob orders "set team registry weight 7" as change "c4"
    And operator ann orders "set team registry weight 3" as change "c2"
    Then both responses to change "c2" have the same version
    And change "c4" is in force on every host
    And the weight of team "registry" is 7

  Scenario: A host restarts during an outage and after it
    When operator ann orders "set team registry weight 4" as change "c3"
    And the platform goes down
    And host-2 is killed
    And host-2 is started again
    Then no host shows a version before change "c3"
    When the platform comes back
    Then change "c3" is in force on every host
    When host-3 is killed
    And host-3 is started again
    Then no host shows a version before change "c3"
    And change "c3" is in force on every host
