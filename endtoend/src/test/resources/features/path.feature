Feature: Requests through the running programs

  Scenario: Concurrent streams arrive complete at the callers that sent them
    Given a running fleet of "caroni"
    When 200 callers stream answers of 40 tokens in class "fault-guess" through all entries
    Then every caller has the complete answer to its own request

  Scenario: A booking sent to two entries with the same key runs once
    Given a running fleet of "caroni"
    When 20 bookings are each sent to entries 1 and 2 with the same key
    Then every booking ran exactly once
    And every caller received the answer or was told that the call is still running

  Scenario: A print order sent to two entries with the same key runs once
    Given a running fleet of "signwright"
    When 20 print orders are each sent to entries 1 and 3 with the same key
    Then every print order ran exactly once
    And every caller received the answer or was told that the call is still running

  Scenario: A planned stop of an entry interrupts no stream
    Given a running fleet of "caroni"
    When 30 callers stream answers of 200 tokens in class "fault-guess" through entry 1
    And "entry-1" is asked to stop
    Then "entry-1" reports that it is not ready before it exits
    And every caller has the complete answer to its own request
    And "entry-1" has exited without an error
