Feature: Spare hosts

  Scenario: The same spare hosts cover the loss of any zone
    Guards against spare hosts that are counted per pool and zone.
    Given pools "a,b,c" of 8 hosts in 4 zones and a spare pool of 4
    When each pool needs 7 hosts
    Then 3 spare hosts are kept outside of any one zone
    And nothing is moved

  Scenario: Surplus hosts of a pool go to the spare pool
    Guards against a spare pool that lacks hosts while other pools have a
    surplus.
    Given pools "a,b,c" of 12 hosts in 4 zones and a spare pool of 1
    When pools need "4,11,11" hosts
    Then hosts are moved from "a" to "spare" only

  Scenario: Pools without a surplus keep their hosts
    Guards against a pool that gives hosts away and soon lacks them.
    Given pools "a,b,c" of 120 hosts in 4 zones and a spare pool of 1
    When pools need "89,95,88" hosts
    Then nothing is moved and the spare pool lacks hosts

  Scenario: A need that fluctuates by 1% moves hardly any hosts
    Guards against hosts that move back and forth between pools.
    Given pools "a,b,c" of 120 hosts in 4 zones and a spare pool of 40
    When need fluctuates by 1% around 85 for 1000 plans with seed 3
    Then at most 0.005 of the hosts moved
