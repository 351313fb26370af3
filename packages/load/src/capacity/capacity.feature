Feature: The capacity page

  Scenario: The table of the page matches the committed data
    Then docs/CAPACITY.md shows the figures of docs/data/capacity.json

  Scenario: A line is fitted to points by least squares
    Then the line through 1:5, 2:7 and 3:9 has slope 2 and intercept 3
