Feature: A withdrawn key stops working within seconds, everywhere
  Callers keep their connections open and continue to send requests.

  Background:
    Given the deployment is healthy
    And callers with the key keep connections to all hosts

  Scenario: A key is withdrawn from connected callers
    When the key is withdrawn
    Then every host refuses the callers on their connections
    And open routes still serve through all hosts
    And no target has seen a key

  Scenario: Hosts that see each other go on during an outage
    Given the hosts have run long enough to be voters
    When the platform goes down
    And 12 s pass
    Then all hosts serve the callers
    And a withdrawal is refused
    And all hosts serve the callers
    When the platform comes back
    And the key is withdrawn
    Then every host refuses the callers on their connections

  Scenario: A host hears neither the platform nor most other hosts
    When the platform goes down
    And host-1 is killed
    And host-2 is killed
    Then host-3 refuses its callers as not run
    And open routes still serve through host-3
