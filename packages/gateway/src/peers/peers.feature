Feature: Gateways fetch state from each other while the store does not answer

  Background:
    Given another gateway that has declaration 9 and the runners of revision 40

  Scenario: Newer state is fetched while the store does not answer
    Given this gateway has declaration 7, revision 30 and no working store
    When 1000 ms of polling pass
    Then it has received declaration 9 and the runners of revision 40

  Scenario: A slow answer over a congested link is not aborted
    Given answers that take 1200 ms to arrive
    And this gateway has declaration 7, revision 30 and no working store
    When 1000 ms of polling pass
    Then it has received declaration 9 and the runners of revision 40

  Scenario: State that the gateway already has is not sent
    Given this gateway has declaration 9, revision 40 and no working store
    When 1000 ms of polling pass
    Then it has received nothing

  Scenario: No other gateway is queried while the store answers
    Given this gateway has declaration 7, revision 30 and a working store
    When 1000 ms of polling pass
    Then it has received nothing

  Scenario: A gateway whose store does not answer sends no state
    Given the store does not answer the other gateway either
    And this gateway has declaration 7, revision 30 and no working store
    When 1000 ms of polling pass
    Then it has received nothing

  Scenario: A gateway that starts without the store fetches its state from a seed
    Given a gateway that has declaration 5 and a runner
    When another one starts with it as a seed and no working store
    Then it becomes ready with declaration 5

  Scenario: A runner that left in an outage does not return with the store
    Given a gateway that has declaration 5 and a runner
    And another one with it as a seed that has the same
    When the runner leaves while the store answers only the first one
    Then the other one learns that the runner left
    When the store answers both
    Then the other one still knows no runner

  Scenario: A runner that is only kept after an outage is not sent to others
    Given a gateway that has declaration 5 and a runner
    When the runner leaves while its store is away
    And another one starts with it as a seed and no working store
    Then the other one is ready and knows no runner

  Scenario: A key that was withdrawn is not in use again after a restart
    Given a gateway that has declaration 5 without the key "kiosk-key" and a runner
    When another one starts with it as a seed and no working store
    Then it becomes ready with declaration 5
    When its store answers with declaration 4 and the key "kiosk-key"
    Then it refuses the key "kiosk-key"
