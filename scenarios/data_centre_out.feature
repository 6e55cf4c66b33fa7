@data_centre_out
Feature: A data centre that is out gets no new work after a few seconds

  Background:
    Given entry hosts seeb-1, seeb-2, ruwi-1, ruwi-2 and qurum-1
    And an upstream ruwi-scribe-1
    And revision 1 of the rules is published
    And 3 s pass

  Scenario: Taken out by the operator and brought back
    Then every host sends new work to ruwi-scribe-1
    When ruwi is taken out
    And 3 s pass
    Then no host sends new work to ruwi-scribe-1
    And ruwi-1 takes no callers, seeb-1 does
    When nothing is taken out
    And 3 s pass
    Then every host sends new work to ruwi-scribe-1

  Scenario: Taken out right before the platform's outage, seen by one host
    When the platform is down for all but qurum-1
    And ruwi is taken out
    And 1 s pass
    And the platform is down for all
    And 2 s pass
    Then no host sends new work to ruwi-scribe-1

  Scenario: Taken out while a host is frozen
    When seeb-1 is frozen
    And ruwi is taken out
    And 4 s pass
    And seeb-1 thaws
    Then no host sends new work to ruwi-scribe-1
    When 3 s pass
    Then no host sends new work to ruwi-scribe-1

  Scenario: Taken out while a host is cut off from everything
    When seeb-1 is cut off from everything
    And ruwi is taken out
    And 3 s pass
    Then no host sends new work to ruwi-scribe-1

  Scenario: Two operators race and the later state holds
    When ruwi is taken out
    And seeb is taken out
    And 3 s pass
    Then every host sends new work to ruwi-scribe-1
    And seeb-1 takes no callers, ruwi-1 does
