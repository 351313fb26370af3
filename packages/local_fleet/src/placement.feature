Feature: Placement of models in a fleet

  Scenario: A newly declared model is placed on a runner and answers chats
    Given a local fleet
    When an operator declares the model "notes" with one runner
    Then a runner loads "notes" and answers a chat for it
    And the status in the platform says that "notes" has 1 runner
