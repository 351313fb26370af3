Feature: Admission in the whole path
  What a full runner cannot serve in time is refused as not run, and a caller
  that goes leaves nothing behind.

  Background:
    Given a local fleet whose one engine runs 1 request at a time

  Scenario: What cannot be answered in time is refused at once
    When a caller streams and another has too little time for 1000 tokens
    Then the answer has status 503, code 2003 and executed "no"
    And the answer says when to come back

  Scenario: A caller that goes while its request waits leaves nothing behind
    When a caller streams and another goes while it waits
    Then only the first request has reached the engine
    When the first caller goes
    Then no load is left at the sidecar
