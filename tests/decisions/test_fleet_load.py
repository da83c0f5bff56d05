"""Tests of the mean load, which decides whether the fleet is overloaded."""

from support.balancer_harness import SECOND_US, BalancerHarness, of_type

from wheatstile import interface as api
from wheatstile.decisions.server_load import OVERLOAD_THRESHOLD


def test_one_overloaded_server_does_not_overload_the_fleet() -> None:
    harness = BalancerHarness("a", "b", "c", "d", loads={"a": 10.0, "b": 0.3, "c": 0.3, "d": 0.3})
    for index in range(300):
        harness.request(f"r{index}")
    assert harness.balancer.fleet_load.mean() < OVERLOAD_THRESHOLD


def test_full_servers_of_the_local_zone_do_not_overload_the_fleet() -> None:
    """Servers of the local zone are drawn more often, but each ready server counts once."""
    loads = {"a": 1.2, "b": 1.2, "c": 0.4, "d": 0.4, "e": 0.4}
    harness = BalancerHarness(*"abcde", loads=loads, cross_zone_cost=0.01)
    for name in "cde":
        harness.update_endpoints(api.Endpoint(name, api.EndpointState.READY, "there"))
    for number in range(200):
        harness.request(f"r{number}", key=f"k{number}")
        harness.run(SECOND_US // 10)
    assert not of_type(harness.actions, api.Reject)
    assert harness.balancer.fleet_load.mean() < OVERLOAD_THRESHOLD


def test_unknown_load_counts_as_the_mean() -> None:
    harness = BalancerHarness("a", "b", loads={"a": 0.3, "b": 0.3})
    harness.dispatch(api.Request("r", "web", 2 * SECOND_US))
    harness.answer_check("a", load=0.3)
    harness.answer_check("b")
    assert harness.attempted_servers[-1] == "a"
