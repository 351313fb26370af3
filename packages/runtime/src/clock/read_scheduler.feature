Feature: The work for received bytes in a turn of the event loop is bounded

  # Guards against peers that send as fast as they are read, whose bytes kept
  # the event loop from all others (review/2, forty such answers at once).
  Scenario Outline: However many peers send, a turn does a bounded amount of work
    Given a scheduler that does work of 1000 a turn
    When <peers> peers send without end, each read costing 300
    Then no turn does work of more than 1299
    And all peers have as many reads, or one more, after 100 turns

    Examples:
      | peers |
      | 1     |
      | 3     |
      | 40    |

  Scenario: Work that was put off is done in order
    Given a scheduler that does work of 1000 a turn
    When work of 900, 900 and 50 is put off
    Then the turns do "1 2", "3"

  Scenario: Work that fails does not hold back the rest
    Given a scheduler that does work of 1000 a turn
    When work that fails is put off before other work
    Then the other work is done in the next turn
