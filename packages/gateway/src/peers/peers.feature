Feature: Gateways that the store turns away learn from the others

  Background:
    Given another gateway that has declaration 9 and the runners of revision 40

  Scenario: What is newer is learnt while the store does not answer
    Given this gateway has declaration 7, revision 30 and no store
    When 1000 ms go by
    Then it has learnt declaration 9 and the runners of revision 40

  Scenario: News that comes slowly over a small link is waited for
    Given news that takes 1200 ms to pass
    And this gateway has declaration 7, revision 30 and no store
    When 1000 ms go by
    Then it has learnt declaration 9 and the runners of revision 40

  Scenario: What is known already is not sent
    Given this gateway has declaration 9, revision 40 and no store
    When 1000 ms go by
    Then it has learnt nothing

  Scenario: A gateway with a store of its own asks nobody
    Given this gateway has declaration 7, revision 30 and a store
    When 1000 ms go by
    Then it has learnt nothing

  Scenario: A gateway without a store tells nothing
    Given the other gateway has lost its store too
    And this gateway has declaration 7, revision 30 and no store
    When 1000 ms go by
    Then it has learnt nothing

  Scenario: A gateway that starts while the store is away learns from a seed
    Given a gateway that has declaration 5 and a runner
    When another one starts with that one as seed and no store
    Then it becomes ready with declaration 5
