Feature: Admission from the caller to the runner
  Requests that a full runner cannot serve before their deadline are refused
  as not run, and the resources of a disconnected caller are released.

  Background:
    Given a local fleet with one engine that runs 1 request at a time

  Scenario: A request that cannot meet its deadline is refused at once
    When a caller streams and another sends a deadline too short for 1000 tokens
    Then the answer has status 503, code 2003 and executed "no"
    And the answer says when to retry

  Scenario: A waiting request is cancelled when its caller disconnects
    When a caller streams and another disconnects while its request waits
    Then only the first request has reached the engine
    When the first caller disconnects
    Then the sidecar has no load
