Feature: An engine that pauses does not end a stream that cannot resume

  Scenario: A stream that cannot resume goes on after a pause of its engine
    Given a stream that may not run twice
    When its engine pauses for 5000 ms and goes on
    Then the answer is whole

  Scenario: A stream whose resumes are used up goes on after a pause of its engine
    Given a stream that may resume 0 times
    When its engine pauses for 5000 ms and goes on
    Then the answer is whole

  Scenario: A stream that cannot resume ends at its deadline
    Given a stream that may not run twice
    When its engine pauses for 60000 ms and goes on
    Then the answer has failed as "deadlineExceeded"
