@at_most_once
Feature: A non-idempotent request runs at most once

  Background:
    Given a platform, a plain service and two entry hosts

  Scenario: The same key at two entry hosts at once
    When 12 callers send one key through both hosts at once
    Then the service ran the key 1 times
    And a caller that repeats it through host 2 gets 201

  Scenario: The caller repeats after its deadline
    Given the service takes 0.5 s for a call
    When a caller with a deadline of 0.2 s sends a key through host 1
    Then the caller gets deadline_after_send
    And a caller that repeats it through host 2 gets outcome_unknown
    And the service ran the key 1 times

  Scenario Outline: An entry host is killed
    When host 1 is killed <moment>
    And an hour passes
    Then a caller that repeats it through host 2 gets <answer>
    And the service ran the key <runs> times

    Examples:
      | moment            | answer          | runs |
      | before the claim  | 201             | 1    |
      | after the claim   | outcome_unknown | 0    |
      | before the send   | outcome_unknown | 0    |
      | after the send    | outcome_unknown | 1    |
      | before the record | outcome_unknown | 1    |

  Scenario Outline: An entry host is paused past every time limit
    When host 1 is paused <moment>
    And a day passes
    Then a caller that repeats it through host 2 gets outcome_unknown
    When host 1 is thawed
    Then the paused caller gets <answer>
    And a caller that repeats it through host 2 gets 201
    And the service ran the key 1 times

    Examples:
      | moment          | answer               |
      | after the claim | deadline_before_send |
      | before the send | 201                  |
      | after the send  | 201                  |

  Scenario: The platform's answers are lost after they took effect
    Given the platform loses its next 3 answers
    When a caller sends a key through host 1
    Then the caller gets 201
    And a caller that repeats it through host 2 gets 201
    And the service ran the key 1 times

  Scenario: The platform goes down and comes back
    Given the platform is down
    When a caller sends a key through host 1
    Then the caller gets claims_unavailable
    And the service ran the key 0 times
    When the platform is back
    Then a caller that repeats it through host 2 gets 201
    And the service ran the key 1 times

  Scenario: The platform goes down before the outcome is recorded
    When the platform goes down while a call of host 1 runs
    Then the caller gets 201
    And a caller that repeats it through host 1 gets 201
    When the platform is back
    Then a caller that repeats it through host 2 gets 201
    And the service ran the key 1 times

  Scenario: Callers that repeat land their bookings under faults
    Given the platform loses its next 10 answers
    And the service loses its next 3 answers
    When 60 keys are sent by callers that repeat while the platform is down at times
    Then the service ran no key twice
    And at least 57 callers got the answer to their booking
    And at most 3 callers were told that the outcome is unknown
