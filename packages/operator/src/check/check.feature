Feature: Checking the documents of a fleet

  Scenario Outline: The example fleets have no faults
    When the documents of "<folder>" are checked
    Then <files> files are found without faults

    Examples:
      | folder              | files |
      | examples/local      | 10    |
      | examples/vozikovy   | 23    |
      | examples/lanternway | 21    |
      | examples/gateway    | 1     |

  Scenario: Each fault in a gateway's settings is reported with its path
    Given a gateway's settings with a string as slack and no caller address
    When the copy is checked
    Then the report has a fault in "gateways/gateway_1.jsonc" at "repeats.slack" with "number"
    And the report has a fault in "gateways/gateway_1.jsonc" at "callerAddress" with "string"

  # Guards against a document that stops in its middle and is called one of unknown
  # kind, without the place where it stops.
  Scenario: A document that stops in its middle is reported with the place
    Given a document "stored.jsonc" that stops on line 3
    When the copy is checked
    Then all faults of the report are in "stored.jsonc" on line 3

  Scenario Outline: Faults across the documents of a fleet are found
    Given a copy of the local fleet whose "<file>" has <found> in place of <old>
    When the copy is checked
    Then the report has a fault in "<file>" at "<path>" with "<text>"

    Examples:
      | file                         | old                | found              | path                          | text            |
      | sidecars/assistant_2.jsonc   | ["assistant"]      | ["assistent"]      | pools[0]                      | unknown model   |
      | sidecars/assistant_2.jsonc   | "assistant-2"      | "assistant-1"      | runner                        | already used    |
      | sidecars/assistant_2.jsonc   | 127.0.0.1:8202     | 127.0.0.1:8201     | dataAddress                   | already used    |
      | sidecars/assistant_2.jsonc   | 127.0.0.1:8202     | localhost          | dataAddress                   | IP address      |
      | sidecars/assistant_2.jsonc   | "capacity"         | "capacitty"        | capacitty                     | unknown field   |
      | routers/router_1.jsonc       | "domain-a"         | 7                  | failureDomain                 | type string     |
      | fleet.jsonc                  | { "service": "deposit-ledger" } | { "runner": "x" } | exceptions[0].match.runner | unknown runner |
