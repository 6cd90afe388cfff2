Feature: an accepted configuration is in force everywhere within seconds and never reverts

  Scenario: an edit reaches every host
    Given 6 hosts for Roata
    And revisions are watched
    When an operator adds tolerance calm
    Then the revision is in force everywhere within 5 s
    And no revision reverted

  Scenario: operators race
    Given 3 hosts for Roata
    And revisions are watched
    When the platform answers 100 ms late
    Then two operators edit two sections at once and both take effect
    And two operators edit one section from one revision and one conflicts
    And no revision reverted

  Scenario: the store's answer to an edit is lost after it took effect
    Given 3 hosts for Roata
    When the platform loses its next 3 answers to swap
    And an operator adds tolerance calm
    Then the revision is in force everywhere within 5 s

  Scenario: a host is cut from the platform
    Given 3 hosts for Roata
    And host 1 is cut from the platform
    When an operator adds tolerance calm
    Then the revision is in force everywhere within 5 s

  Scenario: the stored configuration is corrupt
    Given 3 hosts for Roata
    And revisions are watched
    And ana connects to host 0 as cluj on orders
    When the store's index is corrupt
    Then ana stays served for 6 s
    And no revision reverted

  Scenario: a host comes back from a long cut
    Given 3 hosts for Roata
    And revisions are watched
    And host 2 is cut from the platform
    And host 2 and host 0 are cut from each other
    And host 2 and host 1 are cut from each other
    And 3000 ms pass
    And an operator adds tolerance calm
    When every link is whole again
    Then the revision is in force everywhere within 5 s
    And no revision reverted

  Scenario: the platform is down from start to end
    Given 3 hosts for Roata
    And ana connects to host 2 as cluj on orders
    And a load of roaming sessions
    When the platform is down
    Then ana stays served for 8 s
    And the load sends again and is answered within 5 s
    When host 3 starts
    And dan connects to host 3 as cluj on orders
    And dan insists on "SELECT 1"
    Then dan has its answer
    When the platform is up
    Then no acknowledged write is lost or doubled and no read was stale
