Feature: Programs and signals

  Scenario: A second signal does not end a program that finishes its requests
    Given a program that has requests to finish when it is stopped
    When it gets SIGTERM, and SIGTERM and SIGINT again
    Then it goes on until its requests are finished, and was stopped once

  Scenario: A program that still starts takes every signal
    Given a program that still starts
    When it gets SIGHUP and SIGTERM
    Then it is stopped as soon as it has started
