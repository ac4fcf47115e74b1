Feature: configuration

  # Guards against two operators who overwrite each other, and slow spreading.
  Scenario: should accept one of two patches against a number and bring it into force everywhere
    Given a fleet of 3 VMs, 1 engine and 1 service
    When patch "500" of "/classes/question/firstTokenMs" is accepted against number 1
    And patch "600" of "/classes/question/firstTokenMs" is refused against number 1
    Then number 2 is in force in every process within the bound
    When patch "700" of "/classes/question/firstTokenMs" is accepted against number 2
    Then number 3 is in force in every process within the bound
