Feature: a withdrawn key stops working within seconds

  Scenario: on open and idle connections and in open transactions
    Given 3 hosts for Roata
    And a table on orders
    And ana connects to host 2 as cluj on orders
    And idle connects to host 1 as cluj on orders
    And busy connects to host 0 as cluj on orders
    When busy sends "BEGIN"
    And cluj's key is withdrawn
    Then ana is cut off within 5 s
    And idle is cut off within 5 s
    And busy is cut off within 5 s

  Scenario: while the platform is slow
    Given 3 hosts for Roata
    And ana connects to host 2 as cluj on orders
    When the platform answers 500 ms late
    And cluj's key is withdrawn
    Then ana is cut off within 5 s

  Scenario: on a host cut from the platform
    Given 3 hosts for Roata
    And ana connects to host 2 as cluj on orders
    When host 2 is cut from the platform
    And cluj's key is withdrawn
    Then ana is cut off within 5 s

  Scenario: when the watchers are dead
    Given 6 hosts for Roata
    And ana connects to host 2 as cluj on orders
    When host 0 is closed at once
    And host 1 is closed at once
    And cluj's key is withdrawn
    Then ana is cut off within 5 s

  Scenario: a host cut from everything refuses rather than guess
    Given 3 hosts for Roata
    And ana connects to host 2 as cluj on orders
    When host 2 is cut from the platform
    And host 2 and host 0 are cut from each other
    And host 2 and host 1 are cut from each other
    And 5000 ms pass
    And ana sends "SELECT 1"
    Then ana is refused with 1103
    And ana is told "Retry after"
