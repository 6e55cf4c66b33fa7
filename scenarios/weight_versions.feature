@weight_versions
Feature: A new request never uses blocks of another weight version

  Background:
    Given a long prompt of 3 blocks was served with version v1 by scribe-1
    And its blocks are at a store host

  Scenario: The weights are swapped and the prompt returns
    Given scribe-1 has loaded version v2
    When the prompt is sent with version v2 to scribe-1
    Then it was served and 6000 tokens were computed
    And no store host is known or found to hold blocks of version v2

  Scenario: The weights are swapped while blocks are on their way
    Given scribe-2 loads version v2 as soon as a block has been read for it
    When the blocks of version v1 are imported to scribe-2
    Then 0 blocks are imported
    And a request with version v2 computes 6000 tokens at scribe-2

  Scenario: A store host has blocks filed under keys of another version
    Given the store host has blocks of version v1 filed under keys of version v2
    And scribe-2 has loaded version v2
    When the blocks of version v2 are imported to scribe-2
    Then 0 blocks are imported
    And a request with version v2 computes 6000 tokens at scribe-2

  Scenario: An engine exports blocks of a version it no longer holds
    Given scribe-2 has loaded version v2
    And scribe-2 caches blocks of version v2 under keys of version v1
    When those blocks are offered to the store hosts
    Then none of them was exported

  Scenario: The weights are rolled back
    Given scribe-2 has loaded version v2
    And scribe-2 has loaded version v1
    When the blocks of version v1 are imported to scribe-2
    Then 3 blocks are imported
    And a request with version v1 computes 0 tokens at scribe-2

  Scenario: The weights are swapped while a request queues
    Given scribe-1 is full and a request with version v1 queues
    When scribe-1 loads version v2 before its turn
    Then the queued request was refused and has not run

  Scenario: The weights are swapped while a stream runs
    Given scribe-1 streams an answer with version v1
    When scribe-1 loads version v2 before its end
    Then the stream is whole and all of it is of version v1
    And a new request with version v1 is refused at scribe-1

  Scenario: An engine reports its version late
    Given scribe-1 reports its version 60 s late
    And scribe-1 has loaded version v2
    Then scribe-1 reports version v1
    And a new request with version v1 is refused at scribe-1

  Scenario: An engine runs whatever it is sent
    Given scribe-1 ignores the version of a request
    And scribe-1 has loaded version v2
    When the prompt is sent with version v1 through the engine client
    Then the answer is rejected as of another version
