Feature: Which software version may have begun a stream

  Scenario: A version that left is remembered while its streams may be taken up
    Given runners of versions "v1 v2" are listed at 0 s
    When runners of versions "v2" are listed at 10 s
    Then the candidates at 45 s are "v1 v2"
    And the candidates at 51 s are "v2"

  Scenario: A version that returns is a candidate again
    Given runners of versions "v1" are listed at 0 s
    When runners of versions "v2" are listed at 1 s
    And runners of versions "v1 v2" are listed at 60 s
    Then the candidates at 120 s are "v1 v2"

  Scenario: What another router knew does not end what is listed
    Given runners of versions "v2" are listed at 0 s
    When another router knew "v1" until 5 s and "v2" until 5 s
    Then the candidates at 40 s are "v1 v2"
    And the candidates at 50 s are "v2"

  Scenario: Origins of open and of complete streams are forgotten
    Given streams "a b" begin at 0 s
    When stream "a" is complete at 2 s
    Then the origins at 6 s are "a b"
    And the origins at 8 s are "b"
    And the origins at 41 s are ""

  Scenario Outline: Records take a quarter of the store's writes at most
    Then <routers> routers of a store with <writes> writes a second write every <period> ms

    Examples:
      | routers | writes | period |
      | 5       | 400    | 100    |
      | 68      | 3200   | 100    |
      | 390     | 400    | 3900   |

  # What other gateways say of a version that has left must not make streams of
  # the one that followed it unknown.
  Scenario: A version that left long ago is no candidate, but was seen
    Given runners of versions "v1" are listed at 0 s
    And runners of versions "v2" are listed at 10 s
    Then the candidates at 51 s are "v2"
    And version "v1" was seen
    And version "v3" was not seen
