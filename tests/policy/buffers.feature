Feature: Spare hosts

  Scenario: One spare pool serves losses that can't coincide
    Guards against a spare host for each pool and zone.
    Given pools "a,b,c" of 8 hosts in 4 zones and a spare pool of 4
    When each pool needs 7 hosts
    Then 3 spare hosts are kept outside of any one zone
    And nothing is moved

  Scenario: A pool has more than it needs
    Guards against a spare pool that stays short while others have hosts.
    Given pools "a,b,c" of 12 hosts in 4 zones and a spare pool of 1
    When pools need "4,11,11" hosts
    Then hosts are moved from "a" to "spare" only

  Scenario: No pool has hosts to give for good
    Guards against a pool that gives hosts and soon lacks them.
    Given pools "a,b,c" of 120 hosts in 4 zones and a spare pool of 1
    When pools need "89,95,88" hosts
    Then nothing is moved and the spare pool is short

  Scenario: Need wavers by 1%
    Guards against hosts that move to and fro.
    Given pools "a,b,c" of 120 hosts in 4 zones and a spare pool of 40
    When need wavers by 1% around 85 for 1000 plans with seed 3
    Then at most 0.005 of the hosts moved
