Feature: An operator sees what gateways know and would do

  Background:
    Given a ready gateway with declaration 4 and one runner

  Scenario: The state of gateways
    When the operator runs "gateways status" on it
    Then the exit code is 0 and the text has "gateway-1" and "Version 4"

  Scenario: A gateway that is behind and one that is silent
    Given another gateway with declaration 3
    When the operator runs "gateways status" on both and on a closed port
    Then the exit code is 1 and the text has "behind" and "unreachable"

  Scenario Outline: What a gateway would do with a request
    When the operator asks it about <path> with key "<key>"
    Then the exit code is <code> and the text has "<first>" and "<second>"

    Examples:
      | path        | key       | code | first            | second               |
      | /private/1  | kiosk-key | 0    | Workspace: kiosk | It is served         |
      | /private/1  | lost-key  | 1    | route private    | the key is not known |
      | /lookup/1   |           | 0    | Workspace: none  | 127.0.0.1:1          |
      | /nowhere/1  |           | 1    | version 4        | no route takes it    |

  Scenario: A service whose last runner leaves
    Given its runner begins to drain
    When the operator asks it about /lookup/1 with key ""
    Then the exit code is 1 and the text has "route lookup" and "no runner takes"

  Scenario: A gateway that does not answer
    When the operator asks a closed port about a request
    Then the exit code is 1 and the error names its address
