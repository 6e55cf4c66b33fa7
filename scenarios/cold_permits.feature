@cold_upstreams
Feature: A cold upstream gets no more than its budget from all hosts together

  Background:
    Given 4 entry hosts and a cold upstream that bears 2 requests

  Scenario: Many entry hosts at once
    When every host sends for 20 s
    Then the upstream never ran more than 2 and ran at least 10

  Scenario: The owner is killed
    When every host sends for 12 s
    And the owner is killed
    And every host sends for 25 s
    Then the upstream never ran more than 2 and ran at least 10
    And another host is the owner

  Scenario: The owner is paused past its lease and thaws
    When every host sends for 12 s
    And the owner is frozen
    And every host sends for 25 s
    And the owner thaws
    And every host sends for 10 s
    Then the upstream never ran more than 2 and ran at least 10
    And it granted nothing at the thaw
    And another host is the owner

  Scenario: An asker with a permit is paused and thaws
    When every host sends for 12 s
    And a host that holds an unused permit is frozen
    And every host sends for 8 s
    And that host thaws and sends under its permit if it may
    Then the upstream never ran more than 2 and ran at least 10
    And nothing was sent under the old permit

  Scenario: The platform is down
    When every host sends for 12 s
    And the platform is down
    And every host sends for 60 s
    Then the upstream never ran more than 2 and ran at least 10
    And it was used in the last 10 s

  Scenario: The platform is down and returns
    When the platform is down
    And every host sends for 60 s
    And the platform is up
    And every host sends for 25 s
    Then the upstream never ran more than 2 and ran at least 10
    And it was used in the last 5 s

  Scenario: The former owner goes on after the outage
    When every host sends for 12 s
    And the platform is down
    And every host sends for 60 s
    And the platform is up
    And every host sends for 25 s
    Then the upstream never ran more than 2 and ran at least 10
    And it was used in the last 5 s

  Scenario: The owner alone reaches the platform and is cut off from the others
    When every host sends for 12 s
    And only the owner reaches the platform
    And the owner is cut off from the others
    And every host sends for 60 s
    Then the upstream never ran more than 2 and ran at least 10
