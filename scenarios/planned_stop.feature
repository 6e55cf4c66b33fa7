@planned_stop @processes
Feature: A planned stop is a graceful shutdown that cuts no request

  Background:
    Given engines "scribe-1, scribe-2" and entry hosts "entry-1, entry-2"

  Scenario: an entry host is stopped under streams and bookings
    When callers stream 300 tokens and book for 4 s through the balancer
    And "entry-1" gets SIGTERM after 1 s
    Then "entry-1" says that it is draining before it refuses connections
    And "entry-1" ends with status 0 within 10 s
    And every stream is whole and every booking landed once

  Scenario: a second SIGTERM changes nothing
    When callers stream 300 tokens and book for 4 s through the balancer
    And "entry-1" gets SIGTERM after 1 s
    And "entry-1" gets SIGTERM after 0.2 s
    Then "entry-1" ends with status 0 within 10 s
    And every stream is whole and every booking landed once
