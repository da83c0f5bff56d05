"""Draws follow the weights; equal weights draw as they did before there were any."""

from collections import Counter
from zlib import crc32

import pytest
from support.balancer_harness import BalancerHarness, entries

from wheatstile import interface as api
from wheatstile.decisions.connection import Connection

NAMES = [f"s{number}" for number in range(10)]
CHI_SQUARE = {1: 10.83, 9: 27.88, 19: 43.82}  # degrees of freedom -> exceeded by chance once in a thousand


def weighted(weights: dict[str, float]) -> BalancerHarness:
    harness = BalancerHarness()
    harness.dispatch(
        api.EndpointUpdate(
            api.EndpointUpdateKind.FULL, [entries(name, weight=weight)[0] for name, weight in weights.items()]
        )
    )
    return harness


def connection_of(group: str) -> Connection:
    kind = api.ServiceClass("web", 1)
    return Connection("id", "key", kind, 0, placement_hash=crc32(group.encode()))


@pytest.mark.parametrize(
    "weights",
    [
        dict(zip(NAMES, map(float, range(1, 11)), strict=True)),
        {"heavy": 1000.0, "light": 1.0},
        {"heavy": 100.0} | {f"light{number}": 1.5 for number in range(19)},
    ],
)
@pytest.mark.parametrize("keyed", [False, True])
def test_a_hundred_thousand_draws_follow_the_weights(weights: dict[str, float], keyed: bool) -> None:
    harness, draws = weighted(weights), 100_000
    found: Counter[str] = Counter()
    for number in range(draws):
        server = harness.balancer.selector.pick(connection_of(f"group{number}") if keyed else None)
        assert server
        found[server.endpoint.name] += 1
    total = sum(weights.values())
    wanted = {name: draws * weight / total for name, weight in weights.items()}
    chi_square = sum((found[name] - wanted[name]) ** 2 / wanted[name] for name in weights)
    assert chi_square < CHI_SQUARE[len(weights) - 1], found


@pytest.mark.parametrize("weight", [1.0, 0.3])
def test_equal_weights_draw_as_before(weight: float) -> None:
    harness = BalancerHarness(*NAMES) if weight == 1.0 else weighted(dict.fromkeys(NAMES, weight))
    drawn = [harness.balancer.selector.pick(None) for _ in range(12)]
    names = [server.endpoint.name for server in drawn if server]
    if weight == 1.0:  # the draws of the version before weights, from the same seed
        assert names == ["s0", "s3", "s5", "s9", "s6", "s2", "s6", "s9", "s8", "s3", "s4", "s7"]
    pairs = []
    for number in range(8):
        connection = connection_of(f"g{number}")
        first = harness.balancer.selector.pick(connection)
        second = harness.balancer.selector.pick(connection, first)
        assert first
        assert second
        pairs.append(first.endpoint.name + second.endpoint.name)
    assert pairs == ["s9s2", "s4s6", "s3s0", "s2s7", "s4s7", "s2s5", "s1s4", "s4s0"]


def test_every_balancer_draws_the_same_pair_for_a_group_whatever_it_heard_before() -> None:
    weights = dict(zip(NAMES, map(float, range(1, 11)), strict=True))
    first, second = weighted(weights), weighted(dict.fromkeys(NAMES, 3.0))
    second.dispatch(
        api.EndpointUpdate(
            api.EndpointUpdateKind.DELTA, [entries(name, weight=weights[name])[0] for name in reversed(NAMES)]
        )
    )
    for number in range(200):
        a, b = (harness.balancer.selector.pick(connection_of(f"g{number}")) for harness in (first, second))
        assert a
        assert b
        assert a.endpoint.name == b.endpoint.name


def test_the_last_server_left_is_found_by_weight_too() -> None:
    """With nearly all suspected the table is given up for a look through the list, which weighs as well."""
    harness = weighted({"heavy": 3.0, "light": 1.0} | {f"off{number}": 100.0 for number in range(60)})
    for name, server in harness.balancer.endpoints.servers.items():
        if name.startswith("off"):
            server.ejection.record_failure(harness.now)
    found = Counter(one.endpoint.name for _ in range(2000) if (one := harness.balancer.selector.pick(None)))
    assert set(found) == {"heavy", "light"}
    assert 2.3 < found["heavy"] / found["light"] < 3.9
