@together @processes
Feature: Failures that come together and twice

  Scenario: platform outage, a killed entry host and an engine turned cold
    Given a whole deployment with entry hosts "entry-1, entry-2, entry-3"
    And "scribe-1" is owned
    When callers stream 15 tokens and book for 32 s through the balancer
    And the platform is down for 4 s, "entry-3" is killed and "scribe-1" restarts
    And the platform is down for 2 s, "entry-2" is killed and "scribe-2" restarts
    Then every stream that arrived is whole or refused as "not_run"
    And no booking ran twice and every confirmed one ran
    And no engine got more than it bears
    And "entry-1" serves a completion and a booking within 5 s

  @at_most_once
  Scenario: an entry host is killed again and again under bookings
    Given engines "scribe-1" and entry hosts "entry-1, entry-2"
    When callers stream 10 tokens and book for 8 s through the balancer
    And "entry-2" is killed and started anew 3 times
    Then no booking ran twice and every confirmed one ran
    And at least 100 bookings are confirmed

  @data_centre_out
  Scenario: a data centre leaves and returns under load
    Given engines "scribe-1, scribe-2, scribe-3" and entry hosts "entry-1, entry-2"
    When callers stream 10 tokens and book for 10 s through the balancer
    And callers return when an overloaded host tells them to
    And the data centre "seeb" is taken out
    Then "entry-1" tells the balancer within 3 s that it takes no callers
    And "scribe-1" starts nothing from 3 s on for 2 s
    And "scribe-1" starts something within 5 s after "seeb" is brought back
    And every stream is whole and every booking landed once

  Scenario: engines stand still again and again under load
    Given engines "scribe-1" and entry hosts "entry-1, entry-2"
    When callers stream 10 tokens and book for 10 s through the balancer
    And callers return when an overloaded host tells them to
    And all engines stand still for 0.6 s, 6 times with 1 s between
    Then every stream is whole and every booking landed once

  @data_centre_out
  Scenario: an entry host is frozen while a data centre is taken out
    Given engines "scribe-1, scribe-2" and entry hosts "entry-1, entry-2"
    When "entry-1" is frozen, "seeb" is taken out and "entry-1" thaws after 6 s
    Then completions at "entry-1" never reach "scribe-1"
