Feature: no organisation gets more than its rate and burst across all hosts

  Scenario: five times the rate is held to the rate
    Given 3 hosts for Roata with rate 100 and burst 60
    When cluj sends 500 statements per second for 4 s, skewed over the hosts
    Then no window held more than rate and burst
    And some were refused

  Scenario: skewed arrival within the rate meets no refusal
    Given 6 hosts for Roata with rate 200 and burst 100
    When cluj sends 160 statements per second for 5 s, skewed over the hosts
    Then no window held more than rate and burst
    And none was refused

  Scenario: hosts come and go during a surge
    Given 4 hosts for Roata with rate 100 and burst 60
    When cluj sends 500 statements per second for 6 s meanwhile
    And 1000 ms pass
    And host 4 starts
    And host 0 and host 1 are cut from each other
    And 1000 ms pass
    And host 3 stops gracefully
    And what goes on meanwhile ends
    Then no window held more than rate and burst

  Scenario: the platform is down during a surge
    Given 3 hosts for Roata with rate 100 and burst 60
    When the platform is down
    And cluj sends 500 statements per second for 4 s, skewed over the hosts
    Then no window held more than rate and burst
    And some were refused
