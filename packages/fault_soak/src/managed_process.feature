Feature: Processes of the fault soak

  Scenario: Lines that are read after their process was seen to exit are logged
    When a process writes 100 lines and ends while the exit of another one is handled
    Then its log has 100 lines and how it ended
