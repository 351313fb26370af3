Feature: Choice of the runner
  Returning chats are sent to their cache and load stays within the bounds,
  even if member lists and load records lag.

  Scenario: All routers rank the same runners identically
    Then 500 random pools are ranked identically in any list order

  Scenario: The loss of a runner moves only the chats whose home it was
    Given a pool of 13 runners
    Then the loss of a runner moves no chat with another home

  Scenario: Homes are distributed in proportion to capacity
    Given a pool of 12 runners of which one has twice the capacity
    Then that runner is the home of 2 in 13 chats

  Scenario: A chat spills when its home has no headroom
    Given a pool of 5 runners with a load of 1000 each
    When the home of a chat reports a load of 1200
    And rank 2 reports a load of 800
    Then the chat goes to rank 2
    When the home of the chat reports a load of 900
    Then the chat goes to rank 0

  Scenario: A refused turn goes to the next rank
    Given a pool of 5 runners with a load of 1000 each
    When the home of a chat has refused it
    Then the chat goes to rank 1
    When rank 1 has refused it as well
    Then the chat goes to rank 2

  Scenario: A turn goes to the reported holder while it has headroom
    Given a pool of 5 runners with a load of 1000 each
    When rank 3 is reported as the holder of a chat
    Then the chat goes to rank 3

  Scenario: Own work counts until a load record includes it
    Given a pool of 5 runners with a load of 1000 each
    When this router has sent 300 tokens to a home at 10 ms
    And a load record measured at 5 ms arrives late
    Then the expected load of the home is 1300 tokens
    When a load record measured at 20 ms arrives with 1250 tokens
    Then the expected load of the home is 1250 tokens

  Scenario: A joining runner ramps up its capacity
    Given a pool of 5 runners with a load of 1000 each
    When a runner joins without load at 0 ms and ramps up for 1000 ms
    Then it offers 25 in 100 of its capacity at 0 ms
    And it offers 100 in 100 of its capacity at 1000 ms

  Scenario: The hold-down of a flapping runner doubles with each loss
    Given a pool of 5 runners with a load of 1000 each
    Then a runner that is lost repeatedly is held down for 1000, 2000 and 4000 ms
    And a runner that left as planned is not held down

  Scenario: Lookups stay in their own failure domain unless it is overloaded
    Given a pool of 6 runners in 3 failure domains
    Then lookups of "domain-1" go to "domain-1"
    When the runners of "domain-1" are twice as loaded
    Then lookups of "domain-1" go to other domains as well

  Scenario: A hint gives the holder of a chat until it expires
    Given hints that last 1000 ms
    When a chat is recorded at "assistant-2" with 300 tokens
    Then the hint points to "assistant-2" with 300 tokens
    And after 1000 ms there is no hint

  Scenario Outline: The fastest way to obtain a cached prefix is chosen
    Then <held> held tokens and <headroom> at the holder lead to "<path>"

    Examples:
      | held | headroom    | path      |
      | 4000 | headroom    | redirect  |
      | 4000 | no headroom | transfer  |
      | 100  | no headroom | recompute |
      | 0    | headroom    | recompute |

  Scenario: The prefix hashes of a chat extend those of its shorter prefix
    Then 200 random chats keep their block hashes as they grow
