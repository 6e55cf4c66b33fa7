@upstream_leaving
Feature: A leaving upstream gets no new work after a few seconds

  Background:
    Given entry hosts seeb-1, seeb-2, ruwi-1, ruwi-2 and qurum-1
    And an upstream ruwi-scribe-1
    And revision 1 of the rules is published
    And 3 s pass

  Scenario: Listed as leaving, seen by one host before the outage
    When the platform is down for all but qurum-1
    And ruwi-scribe-1 is listed as leaving
    And 1 s pass
    And the platform is down for all
    And 2 s pass
    Then no host sends new work to ruwi-scribe-1

  Scenario: Taken out by the operator and brought back
    When ruwi-scribe-1 is taken out
    And 3 s pass
    Then no host sends new work to ruwi-scribe-1
    When nothing is taken out
    And 3 s pass
    Then every host sends new work to ruwi-scribe-1

  Scenario: No longer listed
    When ruwi-scribe-1 is no longer listed
    And 3 s pass
    Then no host sends new work to ruwi-scribe-1

  Scenario: Listed as leaving while a host is frozen
    When seeb-1 is frozen
    And ruwi-scribe-1 is listed as leaving
    And 4 s pass
    And seeb-1 thaws
    Then no host sends new work to ruwi-scribe-1
