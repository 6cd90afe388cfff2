Feature: transactions of different callers never mix

  Scenario: a caller that dies leaves nothing behind
    Given 1 host for Roata
    And a table on orders
    And ana connects to host 0 as cluj on orders
    When ana insists on "BEGIN"
    And ana insists on "INSERT INTO orders (id, organisation) VALUES ('half', 'cluj')"
    And ana leaves without a word
    And 500 ms pass
    And dan connects to host 0 as brasov on orders
    And dan insists on "BEGIN"
    And dan insists on "INSERT INTO orders (id, organisation) VALUES ('whole', 'brasov')"
    And dan insists on "COMMIT"
    Then dan has its answer
    And orders holds 1 row of whole
    And orders holds 0 rows of half

  Scenario: open transactions don't see each other
    Given 2 hosts for Roata
    And a table on orders
    And ana connects to host 0 as cluj on orders
    And dan connects to host 1 as brasov on orders
    When ana insists on "BEGIN"
    And dan insists on "BEGIN"
    And ana insists on "INSERT INTO orders (id, organisation) VALUES ('of-ana', 'cluj')"
    And dan sends "ROLLBACK"
    And ana insists on "COMMIT"
    Then ana has its answer
    And orders holds 1 row of of-ana

  Scenario: the endpoint dies in the middle of a transaction
    Given 2 hosts for Roata
    And a table on orders
    And ana connects to host 0 as cluj on orders
    When ana insists on "BEGIN"
    And ana sends "INSERT INTO orders (id, organisation) VALUES ('lost', 'cluj')"
    And the primary of orders is killed
    And ana sends "INSERT INTO orders (id, organisation) VALUES ('lost', 'cluj')"
    Then ana is refused with 1202
    And orders gets another primary within 17 s
    And ana insists on "INSERT INTO orders (id, organisation) VALUES ('after', 'cluj')"
    And orders holds 0 rows of lost
    And orders holds 1 row of after

  Scenario: the host that holds the transaction dies
    Given 3 host processes for Roata
    And a table on orders
    And ana connects to host 2 as cluj on orders
    When ana insists on "BEGIN"
    And ana sends "INSERT INTO orders (id, organisation) VALUES ('lost', 'cluj')"
    And the owner of orders is killed
    And ana sends "INSERT INTO orders (id, organisation) VALUES ('lost', 'cluj')"
    Then ana is refused with 1202
    When ana insists on "SELECT id FROM orders"
    Then ana sees 0 rows

  Scenario: an open link with state is not given to another caller
    Given 1 host for Roata
    And a table on orders
    And ana connects to host 0 as cluj on orders
    When ana sends "SET SESSION sql_mode = 'ANSI'"
    Then ana is refused with 1005
    When ana sends "SELECT GET_LOCK('a', 1)"
    Then ana is refused with 1005
    When ana sends "SELECT 1; SELECT 2"
    Then ana is refused with 1005
