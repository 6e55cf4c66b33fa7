@whole_answers @processes
Feature: Each caller gets the whole answer to its own request

  Scenario Outline: one engine answers wrongly
    Given engines "scribe-1, scribe-2" and entry hosts "entry-1, entry-2"
    And "scribe-1" has the faults "<faults>"
    When 12 different completions of 20 tokens are asked for at once
    Then every answer is whole and its caller's own

    Examples:
      | faults                  |
      | {"cut_after_tokens": 7} |
      | {"cross_answers": 6}    |
      | {"duplicate_lines": true} |
      | {"wrong_count": true}   |
      | {"delay_s": 0.3}        |

  Scenario: every engine cuts every stream
    Given engines "scribe-1, scribe-2" and entry hosts "entry-1, entry-2"
    And "scribe-1" has the faults "{"cut_after_tokens": 2}"
    And "scribe-2" has the faults "{"cut_after_tokens": 2}"
    When 6 different completions of 40 tokens are asked for at once
    Then no answer claims to be whole
    And each failure says that the outcome is "unknown"

  Scenario: an engine is killed while its streams run
    Given engines "scribe-1, scribe-2" and entry hosts "entry-1, entry-2"
    When 8 different completions of 60 tokens are asked for at once
    And "scribe-1" restarts after 0.3 s
    Then every answer is whole and its caller's own

  Scenario: an engine freezes while its streams run
    Given engines "scribe-1, scribe-2" and entry hosts "entry-1, entry-2"
    When 8 different completions of 60 tokens are asked for at once
    And "scribe-1" freezes for 8 s after 0.3 s
    Then every answer is whole and its caller's own

  Scenario: a caller goes away
    Given engines "scribe-1" and entry hosts "entry-1"
    When a caller goes away after 3 tokens of 400
    Then "scribe-1" runs nothing within 3 s
    And "entry-1" counts no running call within 3 s
