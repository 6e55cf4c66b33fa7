@blocks
Feature: A freed or partly written block is never read

  Background:
    Given a long prompt of 3 blocks has been served by scribe-1

  Scenario: The blocks of a returning prompt are imported
    Given its blocks are at a store host
    When the prompt returns to scribe-2
    Then 3 blocks are imported
    And 0 tokens are computed anew
    And no engine has taken or used a wrong block

  Scenario Outline: The bytes of a store host are spoiled
    Given its blocks are at a store host
    And the store host has the fault <fault>
    When the prompt returns to scribe-2
    Then 0 blocks are imported
    And 6000 tokens are computed anew
    And no engine has taken or used a wrong block

    Examples:
      | fault    |
      | truncate |
      | flip_bit |

  Scenario Outline: An engine exports spoiled bytes
    Given scribe-1 has the fault <fault>
    And its blocks are at a store host
    When the prompt returns to scribe-2
    Then 0 blocks are imported
    And no engine has taken or used a wrong block

    Examples:
      | fault           |
      | truncate_export |
      | flip_bit_export |

  Scenario Outline: A writer is killed
    Given a store host has the fault <fault>
    And a writer of its blocks is killed after <step>
    When the prompt returns to scribe-2
    Then 0 blocks are imported
    And no engine has taken or used a wrong block

    Examples:
      | step           | fault            |
      | the allocation | serve_uncommitted |
      | half the bytes | serve_uncommitted |
      | half the bytes | none              |
      | all the bytes  | none              |

  Scenario: A store host commits what was never written whole
    Given every store host has the fault partial_commit
    And its blocks are at a store host
    When the prompt returns to scribe-2
    Then 0 blocks are imported
    And no engine has taken or used a wrong block

  Scenario Outline: A block is freed and its space reused while it is read
    Given its blocks are at a store host
    And the blocks are freed <moment> and their space is reused
    When the prompt returns to scribe-2
    Then 0 blocks are imported
    And no engine has taken or used a wrong block

    Examples:
      | moment                     |
      | before the read            |
      | between two of its halves  |
      | after the last byte        |

  Scenario: A store host answers for freed blocks from their reused space
    Given its blocks are at a store host
    And the store host has the fault serve_freed
    And the blocks are freed before the read and their space is reused
    When the prompt returns to scribe-2
    Then 0 blocks are imported
    And no engine has taken or used a wrong block

  Scenario: Every store host is full
    Given every store host has the fault full
    And its blocks are offered to the store hosts
    When the prompt returns to scribe-2
    Then 0 blocks are imported
    And 6000 tokens are computed anew

  Scenario: One store host is full
    Given the nearest store host has the fault full
    And its blocks are offered to the store hosts
    And its blocks are offered to the store hosts
    When the prompt returns to scribe-2
    Then 3 blocks are imported
    And no engine has taken or used a wrong block

  Scenario: The store host dies between look-up and read
    Given its blocks are at a store host
    And the store host dies
    When the prompt returns to scribe-2
    Then 0 blocks are imported
    And 6000 tokens are computed anew

  Scenario: Cache events are late, lost and out of order
    Given scribe-2 publishes its cache events late, with gaps and out of order
    And the prompt has been evicted from scribe-2, which no event has told
    When the prompt returns to scribe-2, believed to cache 2 blocks
    Then 6000 tokens are computed anew
    And no engine has taken or used a wrong block
