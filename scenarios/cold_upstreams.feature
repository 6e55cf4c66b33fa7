@cold_upstreams @processes
Feature: A freshly started upstream gets no more load than it bears

  Scenario: fresh engines and three entry hosts
    Given cold engines "scribe-1, scribe-2" and entry hosts "entry-1, entry-2, entry-3"
    When callers stream 20 tokens and book for 12 s through the balancer
    Then no engine got more than it bears
    And at least 20 completions are whole and each refusal says "not_run"

  Scenario: an engine turns cold without warning under load
    Given cold engines "scribe-1, scribe-2" and entry hosts "entry-1, entry-2, entry-3"
    When callers stream 10 tokens and book for 12 s through the balancer
    And "scribe-1" restarts after 5 s
    Then at least 20 completions are whole and each refusal says "not_run"
    And no engine got more than it bears

  Scenario: the owner of the permits is killed
    Given cold engines "scribe-1" and entry hosts "entry-1, entry-2, entry-3"
    And "scribe-1" is owned
    When callers stream 10 tokens and book for 6 s through the balancer
    And the owner of the permits of "scribe-1" is killed
    Then no engine got more than it bears

  Scenario: the owner of the permits is frozen past its lease and thaws
    Given cold engines "scribe-1" and entry hosts "entry-1, entry-2, entry-3"
    And "scribe-1" is owned
    When callers stream 10 tokens and book for 14 s through the balancer
    And the owner of the permits of "scribe-1" freezes for 9 s
    Then no engine got more than it bears

  Scenario: the platform goes down
    Given cold engines "scribe-1" and entry hosts "entry-1, entry-2, entry-3"
    And "scribe-1" is owned
    When the platform goes down
    And 30 different completions of 20 tokens are asked for at once
    Then no engine got more than it bears
    And each refusal says "not_run"
