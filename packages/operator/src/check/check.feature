Feature: Checking the documents of a fleet

  Scenario Outline: The example fleets have no fault
    When the documents of "<folder>" are checked
    Then <files> files are found without faults

    Examples:
      | folder              | files |
      | examples/local      | 10    |
      | examples/vozikovy   | 23    |
      | examples/lanternway | 21    |
      | examples/gateway    | 1     |

  Scenario: Every fault of a gateway's settings is named with its place
    Given a gateway's settings with a text as slack and without a caller address
    When the copy is checked
    Then the report names "gateways/gateway_1.jsonc" at "repeats.slack" and says "number"
    And the report names "gateways/gateway_1.jsonc" at "callerAddress" and says "string"

  Scenario Outline: Faults between the documents of a fleet are found
    Given a copy of the local fleet whose "<file>" has <found> in place of <old>
    When the copy is checked
    Then the report names "<file>" at "<path>" and says "<text>"

    Examples:
      | file                         | old                | found              | path                          | text            |
      | sidecars/assistant_2.jsonc   | ["assistant"]      | ["assistent"]      | pools[0]                      | unknown model   |
      | sidecars/assistant_2.jsonc   | "assistant-2"      | "assistant-1"      | runner                        | has too         |
      | sidecars/assistant_2.jsonc   | 127.0.0.1:8202     | 127.0.0.1:8201     | dataAddress                   | has too         |
      | sidecars/assistant_2.jsonc   | 127.0.0.1:8202     | localhost          | dataAddress                   | IP address      |
      | sidecars/assistant_2.jsonc   | "capacity"         | "capacitty"        | capacitty                     | unknown field   |
      | routers/router_1.jsonc       | "domain-a"         | 7                  | failureDomain                 | type string     |
      | fleet.jsonc                  | { "service": "deposit-ledger" } | { "runner": "x" } | exceptions[0].match.runner | unknown runner |
