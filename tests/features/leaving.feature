Feature: leaving without loss

  # Guards against new work for a server that is about to go.
  Scenario: should give no new work to a backend server that leaves by the VM list
    Given a fleet of 2 VMs, 2 engines and 1 service
    When engine 1 is marked as leaving on the VM list
    Then engine 1 gets no new work after the bound

  # Guards against leaving marks that only one of the two sources gives.
  Scenario: should give no new work to a backend server that leaves by the configuration
    Given a fleet of 2 VMs, 2 engines and 1 service
    When patch "\"leaving\"" of "/backendServers/engine-1/state" is accepted against number 1
    Then engine 1 gets no new work after the bound

  # Guards against streams and queued requests that a leaving gateway cuts off.
  Scenario: should finish everything that a leaving gateway accepted
    Given engines that need 20 ms a token
    And engines with 2 slots
    And a fleet of 2 VMs, 2 engines and 1 service
    When 12 requests of class "caption" start as "asked" through VM 1
    And an engine has generated 8 tokens
    And the gateway of VM 1 is told to leave
    Then all answers "asked" are whole
    And the gateway of VM 1 has ended with code 0

  # Guards against queued requests that are lost with a leaving dispatcher.
  Scenario: should move the queue of a leaving dispatcher to the new owner
    Given engines that need 20 ms a token
    And engines with 2 slots
    And a fleet of 2 VMs, 2 engines and 1 service
    When 12 requests of class "caption" start as "asked" through VM 1
    And an engine has generated 8 tokens
    And the dispatcher of VM 1 is told to leave
    Then all answers "asked" are whole
    And the dispatcher of VM 1 has ended with code 0

  # Guards against work that is lost while every process is replaced in turn.
  Scenario: should lose nothing while all VMs are replaced one after another
    Given engines that need 20 ms a token
    And a short leave of gateways
    And a fleet of 3 VMs, 2 engines and 1 service
    When requests keep coming as "load" through the addresses that callers get
    And every VM is replaced gracefully, one after another
    And the requests stop coming
    Then all answers "load" are whole
