Feature: Bodies in tiny pieces

  # Guards against bodies that are kept as one object a piece until the process
  # reaches its heap limit: callers' requests, answers of the store (review/1 on
  # related paths).
  Scenario Outline: A body of 4 MiB in chunks of one byte fits in memory
    Given <reader> that accepts 4 MiB
    When 4 MiB arrive in chunks of one byte
    Then the body has 4 MiB
    And the heap grew by less than 100 MiB while it was read

    Examples:
      | reader   |
      | a server |
      | a client |

  # Guards against bodies in tiny pieces that keep the event loop from all other
  # connections (review/2 on related paths).
  Scenario: Twenty bodies in chunks of one byte leave the event loop to others
    Given a server that accepts 4 MiB
    When 20 callers send 128 KiB each in chunks of one byte at once
    Then at most 64 KiB were handled in a turn of the event loop

  Scenario: A body that is discarded while it arrives is not kept
    Given a server that accepts 4 MiB
    When a body is discarded after 64 KiB
    Then the request ends with the error of the discard

  Scenario: Interim answers without end are not read
    Given a client that accepts 4 MiB
    When interim answers arrive without end
    Then the call fails
