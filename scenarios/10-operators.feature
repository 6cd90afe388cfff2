Feature: operators work with the command line while traffic runs

  Scenario: a route and a key change under load
    Given 3 host processes for Roata
    And a load of roaming sessions
    And ana connects to host 1 as turda on orders
    Then the command "config show routes" succeeds
    And the command "config apply nothing package.json" fails with 91
    And the command "key withdraw nobody" fails with 91
    When the command "key withdraw turda" succeeds
    Then ana is cut off within 5 s
    When 2000 ms pass
    Then the load sends again and is answered within 5 s
    And no acknowledged write is lost or doubled and no read was stale

  Scenario: what is not supported is named
    Given 1 host for Roata
    And ana connects to host 0 as cluj on orders
    When ana sends "PREPARE p FROM 'SELECT 1'"
    Then ana is told "Prepared statements are not supported"
    When ana sends "nonsense"
    Then ana is refused with 1006
    When ana sends "SELECT 1"
    Then ana has its answer
