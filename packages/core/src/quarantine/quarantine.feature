Feature: Prompt parts that crash runners are quarantined on sufficient evidence

  Scenario: Three processes crashed under three requests
    Given the part "bad" crashed runners "r1 r2" under request "q1"
    And the part "bad" crashed runners "r3" under request "q2"
    Then the part "bad" is not quarantined
    When the part "bad" crashes runners "r4" under request "q3"
    Then the part "bad" is quarantined for 300 s with 4 processes and 3 requests

  Scenario: A long request that is resumed at three crashing runners
    Given the part "long" crashed runners "r1 r2 r3" under request "q1"
    Then the part "long" is not quarantined

  Scenario: A whole request that crashes three processes, sent once or again
    Given the part "request:1" crashed runners "r1 r2" under request "q1"
    Then the part "request:1" is not quarantined
    When the part "request:1" crashes runners "r3" under request "q1"
    Then the part "request:1" is quarantined for 300 s with 3 processes and 1 requests
    When a request with the part "request:1" is answered whole
    Then the part "request:1" is not quarantined

  Scenario: One process that takes many requests along
    Given the part "popular" crashed runners "r1" under request "q1"
    And the part "popular" crashed runners "r1" under request "q2"
    And the part "popular" crashed runners "r1" under request "q3"
    Then the part "popular" is not quarantined

  Scenario: A part that was answered whole within a minute before the crashes
    Given a request with the part "popular" was answered whole
    When 59 s pass
    And three processes crash under three requests with the part "popular"
    Then the part "popular" is not quarantined
    And the part "popular" is no suspect
    When 2 s pass
    Then the part "popular" is a suspect

  Scenario: A part that is answered whole after the crashes
    Given three processes crash under three requests with the part "popular"
    Then the part "popular" is quarantined for 300 s with 3 processes and 3 requests
    When a request with the part "popular" is answered whole
    Then other routers are to be told of "popular"
    And the part "popular" is not quarantined
    When 100 s pass
    Then the part "popular" is not quarantined

  Scenario: Another router knows that the part is sound
    Given three processes crash under three requests with the part "popular"
    When another router reports a whole answer with the part "popular" 10 s ago
    Then the part "popular" is not quarantined
    When another router reports a whole answer with the part "popular" 10 s ago
    Then other routers are to be told of nothing

  Scenario: A part whose crashes another part explains
    Given the parts "base bad" crashed runners "r1" under request "q1"
    And the parts "base bad" crashed runners "r2" under request "q2"
    And the parts "base bad" crashed runners "r3" under request "q3"
    Then the part "base" is quarantined for 300 s with 3 processes and 3 requests
    And the part "bad" is quarantined for 300 s with 3 processes and 3 requests
    When the parts "other bad" crash runners "r4" under request "q4"
    Then the part "base" is not quarantined
    And the part "bad" is quarantined for 300 s with 4 processes and 4 requests
    When the part "base" crashes runners "r5" under request "q5"
    Then the part "base" is quarantined for 300 s with 4 processes and 4 requests

  Scenario: A shared part that was under way at each crash of a rarer one
    Given the parts "base bad" crashed runners "r1" under request "q1"
    And the parts "base" crashed runners "r1" under request "q2"
    And the parts "base bad" crashed runners "r2" under request "q3"
    And the parts "base" crashed runners "r3" under request "q4"
    And the parts "bad" crashed runners "r3" under request "q5"
    Then the part "base" is not quarantined
    And the part "bad" is quarantined for 300 s with 3 processes and 3 requests

  Scenario: A part of which another part explains all crashes but two
    Given the parts "base bad" crashed runners "r1" under request "q1"
    And the parts "base bad" crashed runners "r2" under request "q2"
    And the parts "base" crashed runners "r3" under request "q3"
    And the parts "base" crashed runners "r4" under request "q4"
    And the parts "bad" crashed runners "r5" under request "q5"
    And the parts "bad" crashed runners "r6" under request "q6"
    And the parts "bad" crashed runners "r7" under request "q7"
    Then the part "base" is not quarantined
    And the part "bad" is quarantined for 300 s with 5 processes and 5 requests
    When the parts "base" crash runners "r8" under request "q8"
    And the parts "bad" crash runners "r9" under request "q9"
    Then the part "base" is quarantined for 300 s with 5 processes and 5 requests

  Scenario: Two parts that crash runners and were under way at each other's crashes
    Given the part "worse" crashed runners "r1 r2 r3" under request "q1"
    And the part "worse" crashed runners "r4" under request "q2"
    And the part "worse" crashed runners "r4" under request "q3"
    And the part "bad" crashed runners "r1" under request "q4"
    And the part "bad" crashed runners "r2" under request "q5"
    And the part "bad" crashed runners "r3" under request "q6"
    Then the part "bad" is not quarantined
    When 2 s pass
    And the part "bad" crashes runners "r5" under request "q7"
    And the part "bad" crashes runners "r6" under request "q8"
    Then the part "bad" is quarantined for 300 s with 5 processes and 5 requests
    And the part "worse" is quarantined for 298 s with 4 processes and 3 requests
    And a request with the parts "worse" may be tried
    When 2 s pass
    And the part "worse" crashes runners "r7" under request "q9"
    Then the part "worse" is quarantined for 300 s with 5 processes and 4 requests
    And the part "bad" is quarantined for 298 s with 5 processes and 5 requests

  Scenario: A part in quarantine, and another that then crashes more processes
    Given the part "bad" crashed runners "r1" under request "q1"
    And the part "bad" crashed runners "r2" under request "q2"
    And the part "bad" crashed runners "r3" under request "q3"
    And the part "bad" crashed runners "r4" under request "q4"
    And the part "worse" crashed runners "r1 r2" under request "q5"
    And the part "worse" crashed runners "r1 r3" under request "q6"
    And the part "worse" crashed runners "r2 r4" under request "q7"
    And the part "worse" crashed runners "r3 r4" under request "q8"
    And the part "worse" crashed runners "r1" under request "q9"
    Then the part "bad" is quarantined for 300 s with 4 processes and 4 requests
    And the part "worse" is not quarantined
    When 3 s pass
    And the part "worse" crashes runners "r5" under request "q10"
    Then the part "worse" is quarantined for 300 s with 5 processes and 6 requests
    And the part "bad" is quarantined for 297 s with 4 processes and 4 requests
    And a request with the parts "bad" may be tried
    When a request with the part "bad" is answered whole
    Then the part "bad" is not quarantined

  Scenario: The quarantine ends, and one more crash begins the next
    Given three processes crash under three requests with the part "bad"
    When 299 s pass
    Then the part "bad" is quarantined for 1 s with 3 processes and 3 requests
    When 1 s pass
    Then the part "bad" is not quarantined
    When the part "bad" crashes runners "r4" under request "q4"
    Then the part "bad" is quarantined for 300 s with 4 processes and 4 requests

  Scenario: Trials that crash runners end soon
    Given three processes crash under three requests with the part "bad"
    Then a request with the parts "bad new" is tried in 2 s
    When 2 s pass
    And the part "bad" crashes runners "r4" under request "q4" on trial
    Then a request with the parts "bad new" is tried in 12 s
    When 12 s pass
    And the part "bad" crashes runners "r5" under request "q5" on trial
    Then a request with the parts "bad new" is not tried

  Scenario: Later crashes under requests that were not sent on trial
    Given three processes crash under three requests with the part "base"
    When 2 s pass
    And the part "base" crashes runners "r4" under request "q4"
    Then a request with the parts "base" is tried in 2 s
    When 2 s pass
    And the part "base" crashes runners "r5" under request "q5"
    Then a request with the parts "base" is tried in 2 s

  Scenario: A request with fewer suspected parts is tried first
    Given the parts "base bad" crashed runners "r1" under request "q1"
    And the parts "base bad" crashed runners "r2" under request "q2"
    And the parts "base bad" crashed runners "r3" under request "q3"
    Then a request with the parts "base" is tried in 2 s
    And a request with the parts "base bad" is tried in 3 s

  Scenario: A trial that ends with a process that another part crashes
    Given three processes crash under three requests with the part "base"
    And the part "bad" crashed runners "p1 p2 p3" under request "q4"
    And the part "bad" crashed runners "p4" under request "q5"
    And the part "bad" crashed runners "p5" under request "q6"
    When 2 s pass
    And the part "base" crashes runners "p6" under request "q7" on trial
    And the part "bad" crashes runners "p6" under request "q8" on trial
    Then a request with the parts "base" is tried in 0 s
    And a request with the parts "bad" is tried in 12 s

  Scenario Outline: Few routers try a part in turn while none learns anything
    When <routers> routers get requests with a quarantined part for 60 s
    Then <senders> of them try <trials>, the first after 2 s, 3 s apart or more

    Examples:
      | routers | senders | trials |
      | 1       | 1       | 3      |
      | 2       | 2       | 6      |
      | 30      | 3       | 9      |

  Scenario Outline: Refused callers come back when a trial may have told something
    Then callers refused <seconds> s after a trial was due come back in <least> to <most> s

    Examples:
      | seconds | least | most |
      | -12     | 13.5  | 15   |
      | 0       | 1.5   | 3    |
      | 60      | 31.5  | 63   |

  Scenario: A router that does not know the others tries nothing
    When a router that does not know the others gets requests for 60 s
    Then 0 of them try 0, the first after 2 s, 3 s apart or more

  Scenario: Evidence is forgotten after half an hour
    Given three processes crash under three requests with the part "bad"
    When 1801 s pass
    And the part "bad" crashes runners "r4" under request "q4"
    Then the part "bad" is not quarantined

  Scenario: A quarantine ends when too little of its evidence is left
    Given the part "bad" crashed runners "r1" under request "q1"
    When 1750 s pass
    And the part "bad" crashes runners "r2" under request "q2"
    And the part "bad" crashes runners "r3" under request "q3"
    Then the part "bad" is quarantined for 300 s with 3 processes and 3 requests
    When 60 s pass
    Then the part "bad" is not quarantined

  Scenario: Routers that merge the same evidence in any order agree
    Then 200 random sets of evidence lead to the same state in any order, with seed 5

  Scenario: The evidence that is kept is bounded
    When 5000 processes crash under one request each
    Then at most 1000 crashes are kept
    When one process crashes under 200 requests
    Then at most 64 of its crashes are kept

  Scenario: Five gateways replay a minute of prompts of which one kind crashes runners
    When prompts are replayed of which some crash runners from 4 s on
    Then without it over 40 such requests reach runners after the fifth crash
    And with it at most 3 do, from 3 s after the fifth crash on
    And it refuses no sound request
    And more sound requests are answered than without it

  Scenario: Prompts crash runners before any prompt was answered
    When prompts are replayed of which some crash runners from 0 s on
    Then with it at most 3 do, from 3 s after the fifth crash on
    And it refuses sound requests in the first 2 s only

  Scenario: Five gateways replay a minute in which sound runners crash
    When the recorded prompts are replayed while 5 of 13 runners crash at once, three times
    Then it refuses no sound request

  Scenario: All runners crash before any prompt was answered
    When the recorded prompts are replayed while all 13 runners crash at 500 ms
    Then it refuses sound requests in the first 10 s only

  Scenario: All runners crash while some prompts crash them again
    When prompts are replayed of which some crash runners, while all 13 crash at 500 ms
    Then with it at most 3 do, from 3 s after the fifth crash on
    And it refuses sound requests in the first 10 s only
    And more sound requests are answered than without it
