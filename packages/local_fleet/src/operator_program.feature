Feature: The operator's program on a running fleet

  Background:
    Given a local fleet
    And an operator's copy "mine" of its declaration

  Scenario: A planned change is applied and reaches every process
    Given copy "mine" sets defaults "load.minimumTokens" to 9000
    When the operator runs "plan --file mine"
    Then it exits with 0 and prints "defaults.load.minimumTokens"
    When the operator runs "apply --file mine"
    Then it exits with 0 and prints "Applied as version"
    And "status" soon exits with 0 and prints "is accepted"

  Scenario: A conflicting edit is refused, and the copy keeps its changes
    Given an operator's copy "theirs" of its declaration
    And copy "mine" sets defaults "load.minimumTokens" to 9000
    And copy "theirs" sets defaults "load.capMultiple" to 2
    When the operator runs "plan --file mine"
    And the operator runs "apply --file theirs"
    And the operator runs "apply --file mine"
    Then it exits with 3 and prints "defaults.load.capMultiple"
    And copy "mine" still sets defaults "load.minimumTokens" to 9000
    When the operator runs "plan --file mine"
    And the operator runs "apply --file mine"
    Then it exits with 0 and prints "Applied as version"

  Scenario: Two editors apply their copies concurrently
    Given an operator's copy "theirs" of its declaration
    And copy "mine" sets defaults "load.minimumTokens" to 9000
    And copy "theirs" sets defaults "load.capMultiple" to 2
    When both copies are applied concurrently
    Then one exits with 0 and the other with 3

  Scenario: An editor cannot revert a change without having seen it
    Given an operator's copy "theirs" of its declaration
    And copy "mine" sets defaults "load.minimumTokens" to 9000
    And copy "theirs" sets defaults "load.capMultiple" to 2
    When the operator runs "apply --file theirs"
    And the operator runs "apply --file mine"
    Then it exits with 3 and prints "defaults.load.capMultiple"
    When the operator runs "apply --file mine --base 2"
    Then it exits with 0 and prints "Applied as version"

  Scenario: A write whose answer is lost is confirmed by reading it back
    Given copy "mine" sets defaults "load.minimumTokens" to 9000
    And the platform loses the answers of all writes
    When the operator runs "apply --file mine"
    Then it exits with 0 and prints "Applied as version"

  Scenario: The platform is down
    Given the platform is down
    When the operator runs "plan --file mine"
    Then it exits with 4 and prints "5003"

  Scenario: A check shows what differs from the version in force
    Given copy "mine" sets defaults "load.minimumTokens" to 9000
    When the operator runs "check mine --against current"
    Then it exits with 0 and prints "1 workspace, 2 services"
    Given the platform is down
    When the operator runs "check mine --against current"
    Then it exits with 4 and prints "5003"
    When the operator runs "check mine"
    Then it exits with 0 and prints "1 files without faults"

  Scenario: The explanation of a service names the exception and its reason
    When the operator runs "explain deposit-ledger"
    Then it exits with 0 and prints "Counter staff and travellers wait"
    When the operator runs "explain none"
    Then it exits with 2 and prints "No workspace"

  Scenario: Draining stores an intent with its reason
    When the operator runs "drain assistant-1 --reason Replaced"
    Then it exits with 0 and prints "assistant-1"
    And the platform holds a drain of runner "assistant-1" for "Replaced"

  Scenario: A dump shows state but no secrets
    When the operator runs "dump router-1"
    Then it exits with 0 and prints "configurationVersion"
    And the output contains no key and no hash of a key

  Scenario: Usage errors
    When the operator runs "explian local"
    Then it exits with 2 and prints "explain"
    When the operator runs "--help"
    Then it exits with 0 and prints "Exit codes"

  Scenario: Money calls can be looked up
    When a caller refunds 5 to account "a1" with key "7c9e6679-7425-40de-944b-e07fc1f90ae7"
    And the operator runs "ledger list --service deposit-ledger"
    Then it exits with 0 and prints "No unknown outcome"
    When the operator runs "ledger show -s deposit-ledger -w local 7c9e6679-7425-40de-944b-e07fc1f90ae7"
    Then it exits with 0 and prints "deposit-ledger-"
    When the operator runs "ledger resolve -s deposit-ledger -w local -r Found --executed yes 7c9e6679-7425-40de-944b-e07fc1f90ae7"
    Then it exits with 2 and prints "expected \"unknown\""
    When the operator runs "ledger list --service none"
    Then it exits with 2 and prints "has no ledger"
