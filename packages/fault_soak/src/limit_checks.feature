Feature: The check of stated limits finds excess requests and nothing else

  Background:
    Given callers whose requests of every kind are served
    And a runner that has stated a limit of 4 requests a second to gateway 0

  Scenario: Requests beyond the tolerance
    And 30 lookups at that runner within 2 s, 4000 ms later, by gateway 0
    Then "stated-limits" is the only violated check

  Scenario Outline: Requests that are within it or excused
    And <requests> lookups at that runner within 2 s, <delay> ms later, by gateway <gateway>
    And a fault "<kind>" at that time
    Then there is no violation

    Examples:
      | requests | delay | gateway | kind              |
      | 29       | 4000  | 0       | store-slow        |
      | 30       | 900   | 0       | store-slow        |
      | 30       | 4000  | 1       | store-slow        |
      | 30       | 4000  | 0       | gateway-paused    |
      | 30       | 4000  | 0       | runner-link-reset |
