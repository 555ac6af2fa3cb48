Feature: Every planned stop is a graceful shutdown

  Background:
    Given the deployment is whole

  Scenario: A host is stopped under load
    Given callers stream and call through the hosts that they are told
    When host-2 is told to stop
    Then host-2 ends by itself without an error
    And no host names host-2 to callers
    And no request of the callers was cut or refused
