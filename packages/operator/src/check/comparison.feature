Feature: What differs from a version in force

  Scenario: What differs from another file, in the order of who is affected
    When a routes document is checked against one with other keys and limits
    Then the changes are, in this order:
      | path                              | affects               |
      | callerLimits.maxBodyBytes         | 2 workspaces, 3 routes |
      | services[engine].coldPerSecond    | 2 routes, 1 service   |
      | workspaces[kiosk].apiKeys         | 1 workspace           |
      | routes[lookup].timeoutMs          | 1 route               |
    And no API key is printed

  Scenario: What differs of a declaration, in the order of who is affected
    When a declaration is checked against one with other defaults and keys
    Then the changes are, in this order:
      | path                                              | affects                  |
      | defaults.request.maximumBodyBytes                 | 3 workspaces, 2 services |
      | defaults.retry.maximumAttempts                    | 2 workspaces, 2 services |
      | classes[interactive].priority                     | 2 workspaces             |
      | workspaces[w1].keyHashes                          | 1 workspace              |
      | exceptions[service=desk].set.load.capMultiple     | 1 service                |
      | exceptions[host=h].set.load.capMultiple           | -                        |

  Scenario: An exception that has moved overrides another one
    When a declaration is checked against one with the opposite order of exceptions
    Then the changes are, in this order:
      | path                               | affects     |
      | exceptions[workspace=w1]           | 1 workspace |

  Scenario: What differs from the routes in force at a gateway
    Given a gateway with its test routes in force
    When the operator checks those routes with another time limit against it
    Then the changes are, in this order:
      | path                      | affects |
      | routes[lookup].timeoutMs  | 1 route |
    When the operator checks those routes against a closed port
    Then the comparison exits with 4

  Scenario: A document that cannot be compared
    When the operator checks routes against a declaration
    Then the comparison exits with 2
