Feature: Callers of the fault soak recognize streams that were broken off

  Scenario Outline: A stream <framing> that ends <place> counts as <result>
    Given a stream <framing> that ends regularly <place>
    Then it counts as <result>

    Examples:
      | framing               | place           | result     |
      | with chunks           | between events  | complete   |
      | with chunks           | inside an event | complete   |
      | with a length         | inside an event | complete   |
      | that nothing delimits | between events  | complete   |
      | that nothing delimits | inside an event | broken off |
