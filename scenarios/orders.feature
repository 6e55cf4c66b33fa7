@orders
Feature: One steward at a time gives orders to the upstreams of a data centre

  Scenario Outline: The holder loads the version of the rules, a few at a time
    Given 5 engines that <fencing> fencing numbers and 2 loads at once
    When steward A runs for 60 s
    Then every engine holds version v2
    And never more than 2 engines loaded at once

    Examples:
      | fencing |
      | check   |
      | ignore  |

  Scenario Outline: The holder is paused past its lease and thaws
    Given 5 engines that <fencing> fencing numbers and 2 loads at once
    And steward A runs for 18 s
    When steward A is paused
    And steward B runs for 40 s
    And steward A thaws in the middle of a step
    And both stewards run for 40 s
    Then every engine holds version v2
    And never more than 2 engines loaded at once
    And no order came under an older lease than one before

    Examples:
      | fencing |
      | check   |
      | ignore  |

  Scenario: A new holder waits until orders of the former one have ended
    Given 5 engines that ignore fencing numbers and 2 loads at once
    And steward A runs for 18 s
    When steward A is paused
    And steward B runs for 21 s
    Then steward B holds the lease
    And steward B has given no order

  Scenario: Engines that check fencing refuse an order that was sent late
    Given 5 engines that check fencing numbers and 2 loads at once
    And steward A runs for 18 s
    When steward A is paused
    And steward B runs for 40 s
    And an order that steward A sent before its pause arrives at scribe-4
    Then it is refused

  Scenario Outline: An order that was sent late and not refused is put right
    Given 5 engines that <fencing> fencing numbers and 2 loads at once
    And steward A runs for 18 s
    When steward A is paused
    And steward B runs for 40 s
    And an order that steward A sent before its pause arrives at scribe-0
    And steward B runs for 15 s
    Then every engine holds version v2

    Examples:
      | fencing |
      | check   |
      | ignore  |
