Feature: What each decision on placement is worth under its load pattern
  Recorded arrivals are replayed in virtual time at engines and runners that
  follow a simple model, by four routers that each know their own work and what
  answers report; with a mechanism and without it.

  Scenario: The bound on homes keeps first events early when all ask for one part
    When "hot_part" is replayed on 12 engines with the bound and without
    Then with it 95 of 100 first events come within 700 ms
    And without it 95 of 100 first events take more than twice as long

  Scenario: Remembered holders keep prompts cached when engines are added
    When "steady_chats" is replayed with 4 more engines, with and without holders
    Then without them more shared tokens are read

  Scenario: Copies from holders spare what new homes would read
    When "steady_chats" is replayed with 4 engines replaced, with and without copies
    Then without them at least 1.5 times the shared tokens are read

  Scenario: Callers that are told when room is expected are served more often
    When "returning_callers" is replayed with the forecast and with a fixed spread
    Then with it more of them are served in time and fewer are refused

  Scenario: A runner that fails fast attracts no calls
    When "plain_calls" is replayed with a runner that fails 7 of 10 calls
    Then with its health in view at most 0.08 of the calls fail
    And by load alone at least 3.0 times as many calls fail
