Feature: tiers and shares

  Background:
    Given engines that need 10 ms a token
    And engines with 2 slots
    And a fleet of 2 VMs, 2 engines and 1 service

  # Guards against urgent work that waits behind a burst of lesser work.
  Scenario: should serve urgent requests within their target during a burst of drafts
    When 40 requests of class "caption" start as "draft" through VM 1
    And an engine has generated 8 tokens
    And 4 requests of class "question" start as "urgent" through VM 2
    Then all answers "urgent" are whole
    And all answers "urgent" arrived before half of the answers "draft"

  # Guards against drafts that starve while urgent work never ends.
  Scenario: should serve a draft while urgent requests keep coming
    When 60 requests of class "question" with long deadlines start as "urgent" through VM 1
    And an engine has generated 8 tokens
    And 1 request of class "caption" starts as "draft" through VM 2
    Then all answers "draft" are whole
    And all answers "draft" arrived before the last of the answers "urgent"
