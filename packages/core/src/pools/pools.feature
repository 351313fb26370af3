Feature: Runners of a service share its requests

  Scenario: All routers send a shared part to the same engine
    Given 13 engines without load
    Then 200 shared parts have the same home in any order of the engines

  Scenario: Engines come and go without moving a part that is held
    Given 13 engines without load
    And an engine holds the part "review-7"
    When 3 engines are added
    Then the part "review-7" goes to its holder

  Scenario: No engine is given more than the bound by a part that all ask for
    Given 13 engines with 6 requests each
    When 60 requests for the part "hot" of 10000 tokens arrive at once
    Then no engine has more than 2 times the mean and 3

  Scenario: Cheap prompts leave a busy home before costly ones
    Given 13 engines with 6 requests each
    When the home of the part "p" has 13 requests
    Then a prompt of 10000 shared tokens stays at its home
    And a prompt of 200 shared tokens goes elsewhere and may be copied from home

  Scenario: A runner that loses requests is avoided for a while
    Given 4 plain runners
    When runner 2 loses 2 requests in a row
    Then it gets none of 100 requests
    When 12000 ms pass without requests
    Then it gets some of 100 requests

  Scenario: A runner that fails a part of its requests gets fewer
    Given 4 plain runners
    When runner 2 fails 10 of 20 requests
    Then it gets none of 100 requests
    When 20000 ms pass without requests
    Then it gets some of 100 requests

  Scenario: Without a healthy runner the others are used
    Given 4 plain runners
    When every runner loses 2 requests in a row
    Then 100 requests are all placed

  Scenario: Reported load counts the requests of other routers
    Given a runner that reports 9 running when this router has 2 there
    When this router sends 1 more
    Then the runner is estimated to hold 10
    When 3000 ms pass without reports
    Then the runner is estimated to hold 3

  Scenario: All routers together stay within the budget of repeats
    Given 4 routers with a budget of 0.2 repeats a request and 54 more in 10 s
    When each has 50 requests a second for 30 s, of which all want a repeat
    Then in no 10 s the repeats are over the budget, and 200 or more were taken
