Feature: Benefit of each placement mechanism under recorded load
  Replays recorded arrivals in virtual time on simple models of engines and
  runners, with a mechanism and without it. Each of four routers sees only its
  own requests and the load that answers report.

  Scenario: The load bound limits first-event times when a prefix is hot
    When "hot_part" is replayed on 12 engines with and without the bound
    Then with the bound 95 % of first events arrive within 700 ms
    And without the bound the 95th percentile is more than twice as high

  Scenario: Tracked holders keep prefixes cached when engines are added
    When "steady_chats" is replayed with 4 engines added, with and without tracked holders
    Then without the mechanism more shared tokens are computed

  Scenario: Copies from holders save prefix computation at new homes
    When "steady_chats" is replayed with 4 engines replaced, with and without prefix copies
    Then without the mechanism at least 1.5 times the shared tokens are computed

  Scenario: The capacity forecast raises the share of callers served in time
    When "returning_callers" is replayed with the forecast and with delays from a fixed range
    Then with the forecast more callers are served in time and fewer are refused

  Scenario: A runner that fails requests fast does not attract more of them
    When "plain_calls" is replayed with a runner that fails 7 of 10 calls
    Then with health considered at most 0.08 of the calls fail
    And with load alone at least 3.0 times as many calls fail
