Feature: no write is acknowledged by a primary that has been replaced

  Scenario: the old primary is cut from its replicas but not from hosts
    Given 3 hosts for Roata
    And a load of roaming sessions
    When 1500 ms pass
    And the primary of orders is cut from its replicas
    Then writes of orders are acknowledged again within 17 s
    When replication of orders is whole again
    And 2000 ms pass
    Then no acknowledged write is lost or doubled and no read was stale
    And the longest gap of orders was at most 17 s

  Scenario: the old primary freezes and thaws after its replacement
    Given 3 hosts for Roata
    And a load of roaming sessions
    When 1500 ms pass
    And the primary of orders is frozen
    Then writes of orders are acknowledged again within 17 s
    When every endpoint of orders is thawed
    And 2000 ms pass
    Then no acknowledged write is lost or doubled and no read was stale

  Scenario: a write at a frozen primary is answered when the primary is replaced
    Given 3 hosts for Roata
    And a table on orders
    And ana connects to host 0 as cluj on orders
    When the primary of orders is frozen
    And ana sends "INSERT INTO orders (id, organisation) VALUES ('waits', 'x')"
    Then ana is refused with 1201
    And ana waited at most 2500 ms

  Scenario: hosts that don't see each other promote at once
    Given 3 hosts for Roata
    And a load of roaming sessions
    When host 0 and host 1 are cut from each other
    And host 0 and host 2 are cut from each other
    And host 1 and host 2 are cut from each other
    And 1500 ms pass
    And the primary of orders is killed
    Then writes of orders are acknowledged again within 17 s
    When 2000 ms pass
    Then no acknowledged write is lost or doubled and no read was stale

  Scenario: the platform's answer to the promotion is lost after it took effect
    Given 3 hosts for Roata
    And a load of roaming sessions
    When 25 more writes are acknowledged within 17 s
    And the platform loses its next 1 answer to change
    And the primary of orders is killed
    Then writes of orders are acknowledged again within 17 s
    When 10 more writes are acknowledged within 17 s
    Then no acknowledged write is lost or doubled and no read was stale

  Scenario: the owner is frozen while it promotes
    Given 3 host processes for Roata
    And a load of roaming sessions
    When 1500 ms pass
    And the primary of orders is killed while its owner is frozen for 4000 ms
    Then writes of orders are acknowledged again within 17 s
    When 2000 ms pass
    Then no acknowledged write is lost or doubled and no read was stale

  Scenario: a paused owner does not replace a healthy primary
    Given 3 host processes for Roata
    And a load of roaming sessions
    When 1500 ms pass
    And the owner of orders is frozen for 3000 ms
    Then writes of orders are acknowledged again within 5 s
    And orders is still in term 1
    When 1000 ms pass
    Then no acknowledged write is lost or doubled and no read was stale
