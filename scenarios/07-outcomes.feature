Feature: what a caller is told about its request is true

  Scenario: each step of a plain write breaks
    Given 1 host for Roata
    And a table on orders
    And ana connects to host 0 as cluj on orders
    When ana writes while each step of the path breaks

  Scenario: each step of a write with an id breaks
    Given 1 host for Roata
    And a table on orders
    And ana connects to host 0 as cluj on orders
    When ana insists on "/* hyssophatch request=first */ INSERT INTO orders (id, organisation) VALUES ('first', 'x')"
    And ana writes with ids while each step of the path breaks

  Scenario: a request with an id runs once, at whichever host it is repeated
    Given 3 hosts for Roata
    And a table on orders
    And ana connects to host 0 as cluj on orders
    And dan connects to host 2 as cluj on orders
    When ana insists on "/* hyssophatch request=r1 */ INSERT INTO orders (id, organisation) VALUES ('once', 'x')"
    And dan insists on "/* hyssophatch request=r1 */ INSERT INTO orders (id, organisation) VALUES ('once', 'x')"
    Then orders holds 1 row of once
    When dan sends "/* hyssophatch request=r1 */ INSERT INTO orders (id, organisation) VALUES ('other', 'x')"
    Then dan is refused with 1008

  Scenario: a request with an id runs once through a failover
    Given 3 hosts for Roata
    And a table on orders
    And ana connects to host 0 as cluj on orders
    And dan connects to host 1 as cluj on orders
    When ana insists on "/* hyssophatch request=r2 */ INSERT INTO orders (id, organisation) VALUES ('once', 'x')"
    And the primary of orders is killed
    And dan insists on "/* hyssophatch request=r2 */ INSERT INTO orders (id, organisation) VALUES ('once', 'x')"
    Then orders holds 1 row of once

  Scenario: a request given up on is answered at once
    Given 1 host for Roata
    And a table on orders
    And ana connects to host 0 as cluj on orders
    When the platform is down
    And the primary of orders is killed
    And ana sends "INSERT INTO orders (id, organisation) VALUES ('none', 'x')"
    Then ana is told "Not run."
    And ana is told "Retry after"
    And ana waited at most 1500 ms
