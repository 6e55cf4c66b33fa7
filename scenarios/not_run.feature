@not_run
Feature: A refusal that says "not run" is true

  Scenario Outline: The runs of a refused request are counted at the service
    Given a platform, a plain service and an entry host with admission
    When a booking is refused because <cause>
    Then the caller is told <kind>
    And the service ran it <runs> times, in line with what the caller is told
    And a refusal that says not run leaves the key free

    Examples:
      | cause                                   | kind                 | runs |
      | its header is malformed                 | bad_request          | 0    |
      | the key was used for another request    | key_reused           | 0    |
      | the account is over its rate            | rate_limited         | 0    |
      | the account runs too many requests      | concurrency_limited  | 0    |
      | the wait would be too long              | overloaded           | 0    |
      | it waited for the whole bound           | overloaded           | 0    |
      | there is no upstream                    | no_upstream          | 0    |
      | the host is stopping                    | draining             | 0    |
      | the platform is down                    | claims_unavailable   | 0    |
      | the platform does not answer in time    | claims_unavailable   | 0    |
      | the first one with its key is running   | in_progress          | 1    |
      | the first one with its key was lost     | outcome_unknown      | 1    |
      | its deadline passes at the claim        | deadline_before_send | 0    |
      | its deadline passes at the service      | deadline_after_send  | 1    |
      | the service refuses it                  | upstream_refused     | 0    |
      | the service takes no connection         | upstream_unreachable | 0    |
      | the service closes it without an answer | upstream_lost        | 1    |
      | the answer belongs to another request   | answer_mismatch      | 1    |
