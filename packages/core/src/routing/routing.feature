Feature: Choice of the runner
  Returning chats find their cache, no runner goes over its bound, and lists
  and load records may lag.

  Scenario: Every router ranks the same runners alike
    Then 500 random pools are ranked alike in any order of their list

  Scenario: A lost runner moves only its own chats
    Given a pool of 13 runners
    Then losing a runner moves no chat whose home it was not

  Scenario: Homes follow capacity
    Given a pool of 12 runners of which one has twice the capacity
    Then that runner is the home of 2 in 13 chats

  Scenario: A chat spills when its home has no room
    Given a pool of 5 runners with a load of 1000 each
    When the home of a chat reports a load of 1200
    And rank 2 reports a load of 800
    Then the chat goes to rank 2
    When the home of the chat reports a load of 900
    Then the chat goes to rank 0

  Scenario: A refusal sends the turn to the next rank
    Given a pool of 5 runners with a load of 1000 each
    When the home of a chat has refused it
    Then the chat goes to rank 1
    When rank 1 has refused it as well
    Then the chat goes to rank 2

  Scenario: A turn goes to the named holder while that has room
    Given a pool of 5 runners with a load of 1000 each
    When rank 3 is named as the holder of a chat
    Then the chat goes to rank 3

  Scenario: Own work counts until a record contains it
    Given a pool of 5 runners with a load of 1000 each
    When this router has sent 300 tokens to a home at 10 ms
    And a record of 5 ms arrives late
    Then the home is expected to carry 1300 tokens
    When a record of 20 ms arrives with 1250 tokens
    Then the home is expected to carry 1250 tokens

  Scenario: A joining runner takes its share step by step
    Given a pool of 5 runners with a load of 1000 each
    When a runner joins without load at 0 ms and ramps up for 1000 ms
    Then it offers 25 in 100 of its capacity at 0 ms
    And it offers 100 in 100 of its capacity at 1000 ms

  Scenario: Each flap keeps a runner out for longer
    Given a pool of 5 runners with a load of 1000 each
    Then a runner that is lost again and again is held for 1000, 2000 and 4000 ms
    And a runner that left as planned is not held

  Scenario: Lookups stay in their own failure domain unless it is hotter
    Given a pool of 6 runners in 3 failure domains
    Then lookups of "domain-1" go to "domain-1"
    When the runners of "domain-1" are twice as loaded
    Then lookups of "domain-1" go to other domains as well

  Scenario: A home tells where its chat is held until the hint expires
    Given hints that last 1000 ms
    When a chat is recorded at "assistant-2" with 300 tokens
    Then the hint names "assistant-2" with 300 tokens
    And after 1000 ms there is no hint

  Scenario Outline: The cheapest way to a cached prefix is taken
    Then <held> held tokens and <room> at the holder lead to "<path>"

    Examples:
      | held | room    | path      |
      | 4000 | room    | redirect  |
      | 4000 | no room | transfer  |
      | 100  | no room | recompute |
      | 0    | room    | recompute |

  Scenario: Prefix hashes of a grown chat begin with those of the shorter one
    Then 200 random chats keep their block hashes as they grow
