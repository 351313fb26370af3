Feature: Requests are answered by one whole answer of a runner, or refused truly

  Background:
    Given a gateway and a runner "first"

  Scenario: A whole answer is passed on unchanged
    Given the runner answers "200 OK" with "balance 12"
    When a caller sends "/lookup/1"
    Then the caller gets status 200 and "balance 12" with the runner's mark

  Scenario: The runner is told who asks and how long there is
    Given the runner answers "200 OK" with "ok"
    When a caller sends "/private/1" with "x-key: kiosk-key"
    Then the runner saw "x-workspace: kiosk"
    And the runner saw "x-runner: first"
    And the runner was given at most 60000 ms

  Scenario: An unknown key is turned away
    When a caller sends "/private/1" with "x-key: other"
    Then the caller gets status 401
    And no runner saw a request

  Scenario: A path without a route is turned away
    When a caller sends "/nowhere/"
    Then the caller gets status 404

  Scenario: A request with two lengths reaches no runner
    When a request with both a length and chunks is sent
    Then the caller gets status 400
    And no runner saw a request

  Scenario: An answer without length is passed on without length
    Given the runner answers without length "half of it" and closes
    When a caller sends "/payout/1"
    Then the connection ends after "half of it" without any length

  Scenario Outline: An answer cut short never looks complete
    Given the runner cuts its answer short: <how>, then it <end>
    When a caller sends "/payout/1"
    Then the caller gets status 502

    Examples:
      | how                           | end    |
      | 10 bytes of a length of 20    | closes |
      | 10 bytes of a length of 20    | resets |
      | one chunk and no last chunk   | closes |
      | one chunk and no last chunk   | resets |
      | 10 bytes without length       | resets |
      | a chunk size that is no number | closes |
      | bytes that are no answer      | closes |
      | a success without its mark    | closes |

  Scenario: A late second answer is not taken for the next one
    Given the runner sends its last answer once more before each
    When a caller sends "/lookup/1" and then "/lookup/2"
    Then both callers get their own answer

  Scenario: An idempotent request that failed is tried at another runner
    Given a runner "second"
    And runner "first" answers "500 Failed" with "no"
    And runner "second" answers "500 Failed" with "no"
    When a caller sends "/lookup/1"
    Then the caller gets status 500
    And 2 requests reached runners

  Scenario: A request that may have run is not sent again
    Given a runner "second"
    And both runners close every request unanswered
    When a caller sends "/payout/1"
    Then the caller gets status 502
    And 1 request reached runners

  Scenario: A request that a runner refused unrun is tried at another
    Given a runner "second"
    And the runner that is tried first refuses unrun, the other answers "paid"
    When a caller sends "/payout/1"
    Then the caller gets status 200 and "paid" with the runner's mark

  Scenario: A request that no runner ran is refused with a time to come back
    Given the runner refuses unrun
    When a caller sends "/payout/1"
    Then the caller gets status 503 with a time to come back

  Scenario: A request that cannot be sent is refused at once
    Given the runner has gone without a word
    When a caller sends "/payout/1"
    Then the caller gets status 503 with a time to come back

  Scenario: A caller that leaves withdraws its request
    Given the runner does not answer
    When a caller sends "/payout/1" and leaves once it has arrived
    Then the runner sees its connection close
    And 1 request reached runners

  Scenario: The last event of a broken stream is where it goes on
    Given a runner "second"
    And the runner that is tried first breaks off in event 3, the other goes on
    When a caller sends "/story/1"
    Then the caller gets events "1 2 3 4" once each and a regular end
    And the second request asked to go on after event "2"

  Scenario: A broken stream that cannot go on does not look complete
    Given the runner breaks off in event 3
    When a caller sends "/summary/1"
    Then the caller gets events "1 2" and no regular end

  Scenario: A lookup at a runner that fell silent is tried at another
    Given a runner "second"
    And the runner that is tried first says nothing, the other answers "12"
    When a caller sends "/lookup/1"
    Then the caller gets status 200 and "12" with the runner's mark

  Scenario: A stream of a runner that fell silent goes on at another
    Given a runner "second"
    And the runner that is tried first stops after event 2, the other goes on
    When a caller sends "/story/1"
    Then the caller gets events "1 2 3 4" once each and a regular end

  Scenario: A stream that goes on without length never looks complete
    Given a runner "second"
    And the runner that is tried first breaks off in event 3, the other has no length
    When a caller sends "/story/1"
    Then the caller gets events "1 2 3 4" and no regular end

  Scenario: A stream that another runner refuses to go on with is cut off
    Given a runner "second"
    And the runner that is tried first breaks off in event 3, the other answers 404
    When a caller sends "/story/1"
    Then the caller gets events "1 2" and no regular end

  Scenario: A runner's failure goes before one of the gateway
    Given a runner "second"
    And the runner that is tried first answers 500, the other closes unanswered
    When a caller sends "/lookup/1"
    Then the caller gets status 500

  Scenario: Prompts with a shared part share an engine
    Given a runner "second"
    And both runners answer "ok"
    When 4 callers send prompts that share a part, one after the other
    Then one runner got them all

  Scenario: A runner that leaves requests without any answer is avoided
    Given a gateway and a runner "silent"
    And a runner "second"
    And runner "second" answers "200 OK" with "done"
    When payouts with 100 ms each are sent until one has expired
    Then 8 further payouts are all answered

  Scenario: Connections that lay idle through a silence are not used again
    Given a gateway and a runner "first"
    And two connections to the runner that are idle
    When the runner is silent on the connections that it has
    Then a payout with 100 ms gets status 504 and the next one 200
