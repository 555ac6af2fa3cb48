Feature: Every planned stop is a graceful shutdown

  Background:
    Given the deployment is healthy

  Scenario: A host is stopped under load
    Given callers stream and call through the listed hosts
    When host-2 receives SIGTERM
    Then host-2 ends by itself without an error
    And no host lists host-2 for callers
    And no request of the callers was interrupted or refused
