@configuration
Feature: Operators change the configuration
  A command reports its outcome truthfully: a "committed" change is stored in the
  platform and in force at the hosts named, and "nothing was applied" means that
  nothing was changed.

  Background:
    Given a platform and the entry hosts seeb-entry-1 and ruwi-entry-1
    And Salma has applied the rules file "first"

  Scenario: An accepted rules file is in force on every host
    When Salma applies the rules file "second"
    Then the command ends with 0 and says "2 of 2 entry hosts have it in force"
    And the rules in the platform are "second" at revision 2
    And the history holds the revisions 1 and 2

  @not_run
  Scenario: A broken rules file changes nothing
    When Salma applies the rules file "broken"
    Then the command ends with 1 and says "faults: 3; nothing was applied"
    And the rules in the platform are "first" at revision 1

  @not_run
  Scenario: Two operators race with rules files
    When Salma and Badr apply the rules files "second" and "third" at once, both based on revision 1
    Then one ends with 0 and the other with 4
    And the loser is told the author and the change of the winner
    And the rules in the platform are those of the winner at revision 2

  @not_run
  Scenario: An operator has edited an old revision
    Given Badr has applied the rules file "second"
    When Salma applies the rules file "third" based on revision 1
    Then the command ends with 4 and says "revision 2 of Badr"
    And it shows the change "+deployment abrr link=0.2"
    And the rules in the platform are "second" at revision 2

  Scenario: The answer to the change is lost after it took effect
    Given the platform loses the answer to the write of the rules
    When Salma applies the rules file "second"
    Then the command ends with 0 and says "revision 2 is committed"
    And the rules in the platform are "second" at revision 2

  @not_run
  Scenario: The platform is down
    Given the platform is down
    When Salma applies the rules file "second"
    Then the command ends with 3 and says "nothing was applied"
    When the platform is up again
    Then the rules in the platform are "first" at revision 1

  @not_run
  Scenario: The platform serves old reads
    Given Badr has applied the rules file "second"
    And the platform serves old reads
    When Salma applies the rules file "third"
    Then the command ends with 4 and says "nothing was applied"
    When the platform is up again
    Then the rules in the platform are "second" at revision 2

  Scenario: The answer is lost and the platform goes down
    Given the platform loses the answer to a write and then goes down
    When Salma applies the rules file "second"
    Then the command ends with 6 and says "the outcome is unknown"

  Scenario: A host keeps an old revision
    Given the host ruwi-entry-1 keeps revision 1
    When Salma applies the rules file "second"
    Then the command ends with 5 and says "ruwi-entry-1 does not have it in force: it has revision 1"
    And it has waited for 14 seconds
    And the rules in the platform are "second" at revision 2

  @data_centre_out
  Scenario: A data centre is taken out and brought back
    When Salma runs "data-centre out seeb"
    Then the command ends with 0 and says "2 of 2 entry hosts have it in force"
    And the data centres out are "seeb"
    When Badr runs "data-centre in seeb"
    Then the command ends with 0 and says "2 of 2 entry hosts have it in force"
    And the data centres out are ""

  @data_centre_out
  Scenario: Two operators take out a data centre each at once
    When Salma and Badr take out seeb and ruwi at once
    Then one ends with 0 and the other with 4
    And the loser is told which data centre the winner took out
    And one data centre is out

  @data_centre_out
  Scenario: The last data centre in service
    Given Badr runs "data-centre out seeb"
    When Salma runs "data-centre out ruwi"
    Then the command ends with 1 and says "ruwi is the last data-centre in service"
    And the data centres out are "seeb"
