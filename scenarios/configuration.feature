@configuration
Feature: Rules and service state are in force everywhere and never revert

  Background:
    Given entry hosts seeb-1, seeb-2, ruwi-1, ruwi-2 and qurum-1
    And revision 1 of the rules is published
    And 3 s pass

  Scenario: A change is in force everywhere within the bound
    When revision 2 of the rules is published
    And 3 s pass
    Then every host is ready with revision 2

  Scenario: All but one host are cut off from the platform
    When the platform is down for all but ruwi-1
    And revision 2 of the rules is published
    And 3 s pass
    Then every host is ready with revision 2

  Scenario: Watches end silently
    When watches end silently on every host
    And revision 2 of the rules is published
    And 3 s pass
    Then every host is ready with revision 2

  Scenario: Stale reads do not bring an older revision back
    Given revision 2 of the rules is published
    And 3 s pass
    When reads are stale on every host
    And seeb-1 restarts
    And 3 s pass
    Then every host is ready with revision 2

  Scenario: A host starts while the platform is down
    When the platform is down for all
    And seeb-1 restarts
    Then seeb-1 is not ready
    When 2 s pass
    Then every host is ready with revision 1

  Scenario: A frozen host thaws with an old revision
    When seeb-1 is frozen
    And revision 2 of the rules is published
    And 4 s pass
    And seeb-1 thaws
    Then seeb-1 is not ready
    When an answer that seeb-2 gave seeb-1 before its freeze arrives
    Then seeb-1 is not ready
    When 1 s pass
    Then every host is ready with revision 2

  Scenario: A peer sends an older revision
    When the platform is down for all
    And ruwi-1 is frozen
    And the platform is up for all
    And revision 2 of the rules is published
    And 3 s pass
    And the platform is down for all
    And ruwi-1 thaws
    And seeb-1 asks ruwi-1
    Then seeb-1 has revision 2

  Scenario: A data centre that is cut off as a whole does not confirm itself
    When the platform is down for all
    And seeb is cut off from the other data centres
    And 4 s pass
    Then seeb-1 is not ready
    And ruwi-1 is ready
