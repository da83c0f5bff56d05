"""Tests of the draw of candidates, and of the choice between them."""

from collections import Counter

import pytest
from support.balancer_harness import SECOND_US, BalancerHarness, endpoints, of_type

from wheatstile import interface as api
from wheatstile.decisions.server_load import OVERLOAD_THRESHOLD

NAMES = [f"s{index}" for index in range(20)]


def test_request_goes_to_the_less_loaded_of_two_random_servers() -> None:
    names = ("a", "b", "c", "d")
    harness = BalancerHarness(*names, loads={"a": 0.1, "b": 0.2, "c": 0.3, "d": 0.5})
    for index in range(1200):
        harness.request(f"r{index}", key=f"k{index}")
    attempts = Counter(harness.attempted_servers)
    # The number of pairs, of the six possible ones, in which a server has the lower load.
    won_pairs = {"a": 3, "b": 2, "c": 1, "d": 0}
    for name in names:
        assert attempts[name] == pytest.approx(1200 * won_pairs[name] / 6, rel=0.15)


def test_every_balancer_draws_the_same_candidates_for_a_key() -> None:
    remote_endpoints = [api.Endpoint(name, api.EndpointState.READY, "there") for name in NAMES[10:]]
    first = BalancerHarness(*NAMES, seed=1, cross_zone_cost=0.1)
    second = BalancerHarness(*NAMES, seed=2, cross_zone_cost=0.1)
    matches = 0
    for harness in (first, second):
        harness.update_endpoints(*endpoints(*NAMES[:10]), *remote_endpoints, kind=api.EndpointUpdateKind.FULL)
    for index in range(200):
        first.request(f"r{index}", key=f"k{index}")
        second.dispatch(api.Request(f"r{index}", "web", 2 * SECOND_US, f"k{index}", midflow=True))
        matches += first.attempted_servers[-1] == second.attempted_servers[-1]
    # The candidate in the local zone is chosen, unless the other one is clearly less loaded.
    assert matches > 150


@pytest.mark.parametrize("group", ["g1", "g2", "g3"])
def test_group_with_overloaded_candidates_uses_the_same_servers_at_every_balancer(group: str) -> None:
    """If both candidates of a group are overloaded, the group must not spread over all other servers."""
    first = BalancerHarness(*NAMES, fleet_size=50)
    checks = of_type(
        first.dispatch(api.Request("r", "web", SECOND_US, "k", affinity_group=group)), api.CheckHealth
    )
    overloaded = {check.server: OVERLOAD_THRESHOLD + 0.1 for check in checks}
    assert len(overloaded) == 2
    chosen: set[str] = set()
    for seed in range(2, 8):
        loads = dict.fromkeys(NAMES, 0.4) | overloaded
        harness = BalancerHarness(*NAMES, fleet_size=50, seed=seed, loads=loads)
        harness.request("r", affinity_group=group)
        harness.run(SECOND_US)
        chosen.update(harness.attempted_servers)
    assert len(chosen) <= 2
    assert not chosen & set(overloaded)


def test_server_in_another_zone_is_chosen_only_if_clearly_less_loaded() -> None:
    harness = BalancerHarness("a", "b", loads={"a": 0.45, "b": 0.4}, cross_zone_cost=0.1)
    other_zone = api.Endpoint("b", api.EndpointState.READY, "there")
    harness.update_endpoints(*endpoints("a"), other_zone, kind=api.EndpointUpdateKind.FULL)
    harness.request("r")
    assert harness.attempted_servers[-1] == "a"
    harness.loads["a"] = 0.95
    harness.request("r2")
    assert harness.attempted_servers[-1] == "b"


def test_clients_of_one_affinity_group_draw_the_same_candidates() -> None:
    pairs = set()
    for index in range(8):
        harness = BalancerHarness(*"abcdefgh", seed=index)
        is_reconnecting = index % 2 > 0
        harness.dispatch(
            api.Request(
                "r",
                "web",
                2 * SECOND_US,
                f"k{index}",
                reconnecting=is_reconnecting,
                affinity_group="g",
            )
        )
        pairs.add(frozenset(harness.pending_checks))
    assert len(pairs) == 1


def test_reconnecting_client_without_a_group_gets_random_candidates() -> None:
    harness = BalancerHarness(*NAMES, seed=3)
    servers = set()
    for index in range(16):
        harness.run(15 * SECOND_US)
        harness.request(f"r{index}", key="k", reconnecting=True)
        servers.add(harness.attempted_servers[-1])
    assert len(servers) > 4


def test_ejected_servers_that_answer_are_used_when_no_other_remains() -> None:
    harness = BalancerHarness("a", "b")
    for id in ("p", "q"):
        harness.request(id, expires_in_us=10 * SECOND_US)
        harness.end_attempt(id, api.AttemptOutcome.CONNECT_FAILED)
        harness.dispatch(api.ClientDisconnected(id))
    assert set(harness.attempted_servers) == {"a", "b"}
    harness.request("r", expires_in_us=SECOND_US // 2)
    assert harness.attempts[-1].id == "r"
