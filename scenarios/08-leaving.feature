Feature: an endpoint that is leaving gets no new work, and planned stops are graceful

  Scenario: a replica says that it leaves
    Given 2 hosts for Roata
    And a load of roaming sessions
    And reads that tolerate age go to every host
    Then endpoint orders-cluj-b serves statements
    When endpoint orders-cluj-b says that it leaves
    Then endpoint orders-cluj-b gets no new statement after 5 s
    And no acknowledged write is lost or doubled and no read was stale

  Scenario: the platform lists the primary as leaving
    Given 2 hosts for Roata
    And a load of roaming sessions
    When the platform lists endpoint orders-cluj-a as leaving
    Then endpoint orders-cluj-a gets no new statement after 5 s
    And the load sends again and is answered within 5 s
    And no acknowledged write is lost or doubled and no read was stale

  Scenario: all hosts restart in turn under load
    Given 3 host processes for Roata
    And a load of roaming sessions
    When 1000 ms pass
    And host 0 stops gracefully
    And host 0 starts
    And host 1 stops gracefully
    And host 1 starts
    And host 2 stops gracefully
    And host 2 starts
    Then the load sends again and is answered within 5 s
    And no acknowledged write is lost or doubled and no read was stale
    And every refusal was true and no outcome is unknown
