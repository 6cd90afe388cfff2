Feature: every session reads its own writes

  Scenario: sessions roam over hosts while replicas are behind
    Given 3 hosts for Roata with replicas 200 ms behind
    And a load of roaming sessions
    When 4000 ms pass
    Then no acknowledged write is lost or doubled and no read was stale

  Scenario: sessions roam across regions with their delays
    Given 6 hosts for Fraser with the delays of its regions
    And a load of roaming sessions
    When 5000 ms pass
    Then no acknowledged write is lost or doubled and no read was stale

  Scenario: two hosts each believe that they own the database
    Given 3 hosts for Roata with replicas 200 ms behind
    And host 0 and host 1 are cut from each other
    And host 0 and host 2 are cut from each other
    And host 1 and host 2 are cut from each other
    And 1500 ms pass
    And a load of roaming sessions
    When 4000 ms pass
    Then no acknowledged write is lost or doubled and no read was stale

  Scenario: the owner is killed
    Given 3 host processes for Roata
    And a load of roaming sessions
    When 1500 ms pass
    And the owner of orders is killed
    Then writes of orders are acknowledged again within 10 s
    When 2000 ms pass
    Then no acknowledged write is lost or doubled and no read was stale

  Scenario: the primary fails while replicas are behind
    Given 3 hosts for Roata with replicas 300 ms behind
    And a load of roaming sessions
    When 25 more writes are acknowledged within 40 s
    And the primary of orders is killed
    Then writes of orders are acknowledged again within 17 s
    When 2000 ms pass
    And 10 more writes are acknowledged within 40 s
    Then no acknowledged write is lost or doubled and no read was stale
