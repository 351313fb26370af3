Feature: Operators inspect gateways and how they would handle a request

  Background:
    Given a ready gateway with declaration 4 and one runner

  Scenario: The status of one gateway
    When the operator runs "gateways status" on it
    Then the exit code is 0 and the output contains "gateway-1" and "Version 4"
    And it says that the store is "available"

  Scenario: One gateway is behind and another does not answer
    Given another gateway with declaration 3
    When the operator runs "gateways status" on both and on a closed port
    Then the exit code is 1 and the output contains "behind" and "unreachable"

  Scenario Outline: Explaining how a gateway would handle a request
    When the operator explains a request for <path> with key "<key>"
    Then the exit code is <code> and the output contains "<first>" and "<second>"

    Examples:
      | path        | key       | code | first            | second                 |
      | /private/1  | kiosk-key | 0    | Workspace: kiosk | The request is served  |
      | /private/1  | lost-key  | 1    | route private    | the API key is unknown |
      | /lookup/1   |           | 0    | Workspace: none  | 127.0.0.1:1            |
      | /nowhere/1  |           | 1    | version 4        | no route matches it    |

  Scenario: Explaining a request for a service whose only runner drains
    Given its runner starts draining
    When the operator explains a request for /lookup/1 with key ""
    Then the exit code is 1 and the output contains "route lookup" and "no runner accepts"

  Scenario: Explaining a request at a gateway that does not answer
    When the operator explains a request at a closed port
    Then the exit code is 1 and the error names its address
