Feature: Failures while requests are in flight

  Scenario: The upstreams of one availability zone are killed while streams are open
    Given a running fleet of "caroni"
    When 60 callers stream answers of 200 tokens in class "fault-guess" through all entries
    And "emulator-2" is killed
    Then every caller has the complete answer, an interrupted prefix of it, or an error that states the outcome
    And a new stream through entry 2 is complete

  Scenario: An entry is killed while streams are open
    Given a running fleet of "caroni"
    When 60 callers stream answers of 200 tokens in class "fault-guess" through all entries
    And "entry-3" is killed
    Then every caller of entries 1 and 2 has the complete answer
    And every caller has the complete answer, an interrupted prefix of it, or an error that states the outcome

  Scenario: Control replicas are killed while streams are open and bookings are sent
    Given a running fleet of "caroni"
    When 60 callers stream answers of 200 tokens in class "fault-guess" through all entries
    And "control-1" is killed
    Then every caller has the complete answer to its own request
    And a booking with key "after-one" runs exactly once within 30 s
    When "control-2" is killed
    Then a booking with key "after-two" is refused as not run
    And a new stream through entry 1 is complete
    When "control-2" is started again
    Then a booking with key "after-two" runs exactly once within 30 s

  Scenario: An entry is killed while it waits for a booking
    Given a running fleet of "caroni"
    When a booking with key "lost-entry" is sent to entry 1, which is killed once the booking runs
    Then a resend of the booking with key "lost-entry" to entry 2 never runs it again

  Scenario: An accepted change is in force everywhere within 7 s and survives a restart
    Given a running fleet of "caroni"
    When the operator changes the weight of an organisation based on version 1
    Then version 2 is in force at every entry within 7 s
    And a second change based on version 1 is refused as a conflict
    When "control-3" is killed
    And "entry-2" is killed
    And "entry-2" is started again
    Then "entry-2" is ready with version 2 in force

  Scenario: Streams resume on engines that drop their connections
    Given a running fleet of "caroni"
    When 30 callers stream answers of 200 tokens in class "fault-guess" through entry 1
    And the engines "assistant-1", "assistant-2" and "assistant-3" drop their connections
    Then every caller has the complete answer to its own request

  Scenario: A request that crashes engines is refused, and a new stream completes afterwards
    Given a running fleet of "caroni"
    When 30 callers stream answers of 200 tokens in class "fault-guess" through all entries
    And a caller sends a request that crashes engines to entries 1, 2 and 3 until it is refused
    Then between 1 and 9 engine crashes occurred
    And every caller has the complete answer, an interrupted prefix of it, or an error that states the outcome
    And a new stream through entry 1 is complete
