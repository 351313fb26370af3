Feature: The metrics of a gateway

  Scenario: The documentation page matches the code
    Then the page in docs equals the page formatted by the code

  Scenario: Requests with every outcome are counted
    Given a gateway after one outage of its store
    When requests are answered, refused, retried, broken and abandoned
    Then its metrics have these values
      | jasminetide_requests_total                 | 6 |
      | jasminetide_answered_200_total             | 2 |
      | jasminetide_answered_502_total             | 1 |
      | jasminetide_answered_503_total             | 1 |
      | jasminetide_refused_notFound_total         | 1 |
      | jasminetide_callers_left_total             | 1 |
      | jasminetide_attempts_broken_total          | 2 |
      | jasminetide_attempts_answered_total        | 2 |
      | jasminetide_attempts_notRun_total          | 1 |
      | jasminetide_repeats_total                  | 1 |
      | jasminetide_store_lost_runners_total       | 1 |
      | jasminetide_answer_ms_idempotent_count     | 2 |
      | jasminetide_first_byte_ms_idempotent_count | 2 |
    And each of its metrics is described
