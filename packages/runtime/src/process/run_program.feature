Feature: Programs and signals

  Scenario: Further signals do not end a program that finishes its requests
    Given a program with requests in flight
    When it receives SIGTERM, SIGTERM and SIGINT
    Then it runs until its requests are finished, and is stopped once

  Scenario: A program that is starting handles every signal
    Given a program that is starting
    When it receives SIGHUP and SIGTERM
    Then it is stopped as soon as it has started
