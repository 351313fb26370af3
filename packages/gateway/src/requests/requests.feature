Feature: A request gets one whole runner answer or an accurate error

  Background:
    Given a gateway and a runner "first"

  Scenario: A whole answer is relayed unchanged
    Given the runner answers "200 OK" with "balance 12"
    When a caller sends "/lookup/1"
    Then the caller gets status 200 and "balance 12" with the runner's mark

  Scenario: The runner receives the workspace and the time limit
    Given the runner answers "200 OK" with "ok"
    When a caller sends "/private/1" with "x-key: kiosk-key"
    Then the runner saw "x-workspace: kiosk"
    And the runner saw "x-runner: first"
    And the runner was given at most 60000 ms

  Scenario: A request with an unknown key is refused
    When a caller sends "/private/1" with "x-key: other"
    Then the caller gets status 401
    And no runner saw a request

  Scenario: A request for a path without a route is refused
    When a caller sends "/nowhere/"
    Then the caller gets status 404

  Scenario: A request with ambiguous length reaches no runner
    When a request with both a length and chunks is sent
    Then the caller gets status 400
    And no runner saw a request

  Scenario: An answer without length is relayed without length
    Given the runner answers without length "half of it" and closes
    When a caller sends "/payout/1"
    Then the connection ends after "half of it" without any length header

  Scenario Outline: A malformed or incomplete answer never looks complete
    Given the runner cuts its answer short: <how>, then it <end>
    When a caller sends "/payout/1"
    Then the caller gets status 502

    Examples:
      | how                               | end    |
      | 10 bytes of a length of 20        | closes |
      | 10 bytes of a length of 20        | resets |
      | one chunk and no last chunk       | closes |
      | one chunk and no last chunk       | resets |
      | 10 bytes without length           | resets |
      | a chunk size that is not a number | closes |
      | bytes that are not HTTP           | closes |
      | a success without the mark        | closes |
      | a header that cannot be sent on   | closes |

  # Guards against callers that wait for their time limit, or get an answer with a
  # status that the runner didn't send, when the first line is no status line.
  Scenario Outline: An answer that is none fails while its connection stays open
    Given the runner cuts its answer short: <how>, then it waits
    When a caller sends "/payout/1"
    Then the caller gets status 502

    Examples:
      | how                                    |
      | status 000                             |
      | status 099                             |
      | a status of four digits                |
      | a status that runs into its reason     |
      | another protocol that nobody asked for |
      | a version that is not HTTP/1           |
      | a status line with a high bit set      |
      | an interim answer with a body          |

  # Guards against callers that wait for a body that a 304 with a length never has.
  Scenario: An answer without a body ends with its head, whatever its length
    Given the runner answers with status 304 and a length of 20
    When a caller sends "/payout/1"
    Then the caller gets status 304

  Scenario: A repeated answer is not mistaken for the next one
    Given the runner repeats its previous answer before each new one
    When a caller sends "/lookup/1" and then "/lookup/2"
    Then both callers get their own answer

  Scenario: A failed idempotent request is retried at another runner
    Given a runner "second"
    And runner "first" answers "500 Failed" with "no"
    And runner "second" answers "500 Failed" with "no"
    When a caller sends "/lookup/1"
    Then the caller gets status 500
    And 2 requests reached runners

  Scenario: A non-idempotent request that may have run is not retried
    Given a runner "second"
    And both runners close every connection without an answer
    When a caller sends "/payout/1"
    Then the caller gets status 502
    And 1 request reached runners

  Scenario: A request refused as not run is retried at another runner
    Given a runner "second"
    And the first runner tried refuses it as not run, the other answers "paid"
    When a caller sends "/payout/1"
    Then the caller gets status 200 and "paid" with the runner's mark

  Scenario: A request that no runner ran is refused with a retry time
    Given the runner refuses the request as not run
    When a caller sends "/payout/1"
    Then the caller gets status 503 and a retry time

  Scenario: A request that cannot be sent is refused at once
    Given the runner has stopped
    When a caller sends "/payout/1"
    Then the caller gets status 503 and a retry time

  Scenario: A request is cancelled when its caller disconnects
    Given the runner does not answer
    When a caller sends "/payout/1" and disconnects once it has arrived
    Then the runner sees its connection close
    And 1 request reached runners

  Scenario: A broken stream resumes after its last whole event
    Given a runner "second"
    And the first runner tried breaks off in event 3, the other resumes
    When a caller sends "/story/1"
    Then the caller gets events "1 2 3 4" once each and a proper end
    And the second request asked to resume after event "2"

  Scenario: A broken stream that cannot resume does not look complete
    Given the runner breaks off in event 3
    When a caller sends "/summary/1"
    Then the caller gets events "1 2" and no proper end

  Scenario: A lookup at a runner that fell silent is retried at another
    Given a runner "second"
    And the first runner tried stays silent, the other answers "12"
    When a caller sends "/lookup/1"
    Then the caller gets status 200 and "12" with the runner's mark

  Scenario: A stream of a runner that fell silent resumes at another
    Given a runner "second"
    And the first runner tried stops after event 2, the other resumes
    When a caller sends "/story/1"
    Then the caller gets events "1 2 3 4" once each and a proper end

  Scenario: A stream that resumes without length is complete after a whole event
    Given a runner "second"
    And the first runner tried breaks off in event 3, the other resumes without length and closes after event 4
    When a caller sends "/story/1"
    Then the caller gets events "1 2 3 4" once each and a proper end

  Scenario Outline: A stream that resumes without length and breaks off never looks complete
    Given a runner "second"
    And the first runner tried breaks off in event 3, the other resumes without length and <end>
    When a caller sends "/story/1"
    Then the caller gets events "<events>" and no proper end

    Examples:
      | end                   | events  |
      | closes in event 4     | 1 2 3   |
      | resets after event 4  | 1 2 3 4 |

  Scenario: A stream without length is complete after a whole event
    Given the runner streams without length and closes after event 4
    When a caller sends "/summary/1"
    Then the caller gets events "3 4" once each and a proper end

  Scenario Outline: A stream without length that breaks off never looks complete
    Given the runner streams without length and <end>
    When a caller sends "/summary/1"
    Then the caller gets events "<events>" and no proper end

    Examples:
      | end                  | events |
      | closes in event 4    | 3      |
      | resets after event 4 | 3 4    |

  Scenario: A stream without length that breaks off resumes at another runner
    Given a runner "second"
    And the first runner tried streams without length and closes in event 3, the other resumes
    When a caller sends "/story/1"
    Then the caller gets events "1 2 3 4" once each and a proper end

  Scenario: A stream that another runner refuses to resume is cut off
    Given a runner "second"
    And the first runner tried breaks off in event 3, the other answers 404
    When a caller sends "/story/1"
    Then the caller gets events "1 2" and no proper end

  Scenario: A runner's error is preferred to one of the gateway
    Given a runner "second"
    And the first runner tried answers 500, the other closes without an answer
    When a caller sends "/lookup/1"
    Then the caller gets status 500

  Scenario: Prompts with a shared prefix go to the same engine
    Given a runner "second"
    And both runners answer "ok"
    When 4 callers send prompts with a shared prefix, one after the other
    Then one runner received all of them

  Scenario: A runner that does not answer requests is avoided
    Given a gateway and a runner "silent"
    And a runner "second"
    And runner "second" answers "200 OK" with "done"
    When payouts with 100 ms each are sent until one has expired
    Then 8 further payouts are all answered

  Scenario: Connections idle while the runner was silent are not reused
    Given a gateway and a runner "first"
    And two idle connections to the runner
    When the runner falls silent on its open connections
    Then a payout with 100 ms gets status 504 and the next one 200

  Scenario: A runner that states that it is leaving gets no further request
    Given a runner "second"
    And runner "first" answers "done" and states that it is leaving
    And runner "second" answers "200 OK" with "done"
    When callers send lookups until runner "first" has answered one
    Then 8 further payouts are all answered
    And runner "first" got 1 request
    When the record of runner "first" is removed and written again
    Then 8 further payouts are all answered
    And runner "first" got 1 request

  Scenario: A request is refused at once when the only runner is leaving
    Given runner "first" answers "done" and states that it is leaving
    When callers send lookups until runner "first" has answered one
    And a caller sends "/payout/1"
    Then the caller gets status 503 and a retry time
    And 1 request reached runners

  Scenario: A new process of a runner that left gets requests again
    Given runner "first" answers "done" and states that it is leaving
    When callers send lookups until runner "first" has answered one
    And runner "first" starts again and answers "back"
    And a caller sends "/payout/1"
    Then the caller gets status 200 and "back" with the runner's mark

  Scenario: A runner that asks for a pause gets no request before its end
    Given a runner "second"
    And runner "first" refuses requests and asks for a pause of 60000 ms
    And runner "second" answers "200 OK" with "done"
    Then 20 further payouts are all answered
    And runner "first" got 1 request

  Scenario: A request is refused at once when every runner has asked for a pause
    Given runner "first" refuses requests and asks for a pause of 3000 ms
    When a caller sends "/payout/1" and then "/payout/2"
    Then the caller gets status 503 and a retry time of 2.5 s or more
    And 1 request reached runners

  Scenario Outline: Bytes without end from a runner end with a typed failure
    Given a runner that sends <bytes> without end
    When a caller sends "/payout/1"
    Then the caller gets status 502
    And the connection to the runner is closed before 64 MiB were sent

    Examples:
      | bytes                                 |
      | a header                              |
      | headers                               |
      | interim answers                       |
      | a chunk size                          |
      | trailers                              |
      | a body with a length                  |
      | a body in chunks                      |
      | no HTTP                               |
      | headers of two bytes                  |
      | trailers of two bytes                 |
      | blanks in a header                    |
      | blanks in a trailer                   |
      | chunks of one byte with an extension  |
      | a body without length                 |
      | answers to other requests             |
      | a body for another request            |

  # Guards against an answer in tiny pieces that is kept as one object a piece
  # until the process reaches its heap limit (review/1).
  Scenario Outline: An answer without end in pieces of one byte fits in memory
    Given a runner that sends <bytes> without end
    When a caller sends "<path>"
    Then the caller gets status 502
    And the heap grew by less than 100 MiB meanwhile

    Examples:
      | path       | bytes                               |
      | /summary/1 | an error in chunks of one byte      |
      | /payout/1  | a whole body in chunks of one byte  |
      | /lookup/1  | a whole body in chunks of one byte  |

  # Guards against answers, each within its own limit, that use up the memory of
  # the process together.
  Scenario: Forty long answers that do not end fit in memory
    Given a runner that sends 3 MiB of a body and then nothing
    And each runner has 100 slots
    When 40 callers send "/payout/1" at once
    Then all that runners sent is read or refused
    And 40 requests reached runners
    And less than 80 MiB are kept

  Scenario: Forty answers without end in chunks of one byte end
    Given a runner that sends a whole body in chunks of one byte without end
    And each runner has 100 slots
    When 40 callers send "/payout/1" at once
    Then all their requests end
    And 40 requests reached runners

  Scenario: An event without end is not kept
    Given a runner that sends an event without end
    When a caller sends "/summary/1"
    Then the caller gets events "" and no proper end
    And the connection to the runner is closed before 64 MiB were sent

  Scenario: A body without end from a caller is refused and not kept
    Given the runner answers "200 OK" with "done"
    When an endless body is sent
    Then the caller gets status 413
    And its connection is closed

  Scenario: A stalled stream that sends a byte now and then resumes elsewhere
    Given a runner "second"
    And the first runner tried sends event 1 and then a byte every 100 ms, the other resumes
    When a caller sends "/story/1"
    Then the caller gets events "1 3 4" once each and a proper end

  Scenario: A slow but sound stream is not cut
    Given a runner "second"
    And each runner sends an event in pieces every 400 ms
    When a caller sends "/story/1"
    Then the caller gets events "1 2 3 4" once each and a proper end
    And 1 request reached runners

  Scenario: A request that arrives during the start waits for the first state
    Given a gateway that has read nothing yet and a runner that answers "ok"
    When a caller sends "/lookup/1"
    And the gateway reads its first state 200 ms later
    Then the caller gets status 200 and "ok" with the runner's mark

  Scenario: A request is refused when the start takes too long
    Given a gateway that has read nothing yet and a runner that answers "ok"
    When a caller sends "/lookup/1" with "x-timeout-ms: 400"
    Then the caller gets status 503 and a retry time
    And no runner saw a request

  Scenario: A caller that leaves while its request waits for the state is not served
    Given a gateway that has read nothing yet and a runner that answers "ok"
    When a caller sends "/payout/1" and disconnects 100 ms later
    And the gateway reads its first state 200 ms later
    And a caller sends "/lookup/1"
    Then the caller gets status 200 and "ok" with the runner's mark
    And 1 request reached runners
    And the gateway has no open requests
