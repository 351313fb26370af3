Feature: What has waited once is not held back again

  Scenario Outline: A deferrable request is held back at its first attempt only
    Given a runner whose minute is at its peak
    When a deferrable request arrives as <attempt>
    Then it is <decision>

    Examples:
      | attempt            | decision    |
      | a first attempt    | held back   |
      | a repeated attempt | let through |
