@accounts
Feature: The data of a client account never reaches another

  Background:
    Given account abrr had a long prompt of 3 blocks served by scribe-1
    And its blocks are at a store host

  Scenario: Another account sends the same prompt
    When account clubs sends the same prompt to scribe-1
    Then none of its tokens were found in a cache
    And no store host is known or found to hold its blocks

  Scenario: The account that owns the blocks gets them
    When account abrr sends the same prompt to scribe-2
    Then 3 blocks are imported

  Scenario Outline: The index is crossed
    Given the index says that the blocks of clubs are where those of abrr are
    And the store host <behaviour>
    When account clubs sends the same prompt to scribe-2
    Then 0 blocks are imported
    And none of its tokens were found in a cache
    And no engine has taken or used a wrong block

    Examples:
      | behaviour                                       |
      | answers for the key asked for                   |
      | has the blocks of abrr filed under clubs' keys  |
      | answers each read with a block of abrr          |

  Scenario Outline: A key is forged
    When blocks are asked for with the key <key>
    Then nothing is found and nothing is imported

    Examples:
      | key                                                                |
      | ../usage                                                           |
      | ?prefix=                                                           |
      | 0000000000000000000000000000000000000000000000000000000000000000   |

  Scenario: What is shown holds no prompt and no key
    Given the index says that the blocks of clubs are where those of abrr are
    And the store host has the blocks of abrr filed under clubs' keys
    When account clubs sends the same prompt to scribe-2
    Then neither the statistics nor the reasons hold a key, an account or text
