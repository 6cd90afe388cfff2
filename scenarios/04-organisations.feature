Feature: a request runs only for the organisation whose key came with it

  Scenario: keys and routes are checked
    Given 2 hosts for Roata
    And a table on orders
    When eva connects to host 0 as cluj with key "brasov-secret-key" on orders
    Then eva is refused with 1001
    When eva connects to host 0 as nobody with key "" on orders
    Then eva is refused with 1001
    When eva connects to host 0 as cluj with key "cluj-secret-key" on nowhere
    Then eva is refused with 1003
    When eva connects to host 0 as cluj on orders
    Then eva has its answer

  Scenario: no endpoint ever sees a caller's key
    Given 2 hosts for Roata
    And a load of roaming sessions
    When 2000 ms pass
    Then no acknowledged write is lost or doubled and no read was stale
    And no endpoint heard a key
    And no endpoint had more connections than it allows

  Scenario: each caller gets the whole answer to its own request
    Given 3 hosts for Roata
    When links delay each message by up to 30 ms, out of order
    Then 40 callers each get their own answers
