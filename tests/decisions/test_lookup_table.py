"""Tests that draws follow the weights, and that one seed gives the same draws at every balancer."""

from collections import Counter
from zlib import crc32

import pytest
from support.balancer_harness import BalancerHarness, endpoints

from wheatstile import interface as api
from wheatstile.decisions.connection import Connection

NAMES = [f"s{number}" for number in range(10)]
RISING_WEIGHTS = {name: float(number) for number, name in enumerate(NAMES, 1)}
# Keyed by degrees of freedom; the probability of exceeding a limit by chance is 0.001.
CHI_SQUARE_LIMITS = {1: 10.83, 9: 27.88, 19: 43.82}


def weighted_harness(weights: dict[str, float]) -> BalancerHarness:
    """Return a balancer whose servers have these weights."""
    harness = BalancerHarness()
    harness.update_endpoints(*weighted_endpoints(weights), kind=api.EndpointUpdateKind.FULL)
    return harness


def weighted_endpoints(weights: dict[str, float]) -> list[api.Endpoint]:
    return [endpoints(name, weight=weight)[0] for name, weight in weights.items()]


def connection_of(group: str) -> Connection:
    """Return a request whose placement hash is that of an affinity group."""
    service_class = api.ServiceClass("web", 1)
    return Connection("id", "key", service_class, 0, placement_hash=crc32(group.encode()))


def pick(harness: BalancerHarness, connection: Connection | None = None, excluded: str = "") -> str:
    """Draw a server. Return its name."""
    other = harness.server(excluded) if excluded else None
    server = harness.balancer.selector.pick(connection, other)
    assert server
    return server.endpoint.name


@pytest.mark.parametrize(
    "weights",
    [
        RISING_WEIGHTS,
        {"heavy": 1000.0, "light": 1.0},
        {"heavy": 100.0} | {f"light{number}": 1.5 for number in range(19)},
    ],
)
@pytest.mark.parametrize("by_group", [False, True])
def test_a_hundred_thousand_draws_follow_the_weights(weights: dict[str, float], by_group: bool) -> None:
    harness = weighted_harness(weights)
    draws = 100_000
    drawn = Counter(
        pick(harness, connection_of(f"group{number}") if by_group else None) for number in range(draws)
    )
    total = sum(weights.values())
    expected = {name: draws * weight / total for name, weight in weights.items()}
    chi_square = sum((drawn[name] - expected[name]) ** 2 / expected[name] for name in weights)
    assert chi_square < CHI_SQUARE_LIMITS[len(weights) - 1], drawn


def test_draws_without_a_group_are_fixed_by_the_seed() -> None:
    harness = BalancerHarness(*NAMES)
    names = [pick(harness) for _ in range(12)]
    assert names == ["s0", "s3", "s5", "s9", "s6", "s2", "s6", "s9", "s8", "s3", "s4", "s7"]


@pytest.mark.parametrize("weight", [1.0, 0.3])
def test_equal_weights_draw_the_same_candidates_for_a_group(weight: float) -> None:
    harness = weighted_harness(dict.fromkeys(NAMES, weight))
    pairs = []
    for number in range(8):
        connection = connection_of(f"g{number}")
        first = pick(harness, connection)
        pairs.append(first + pick(harness, connection, excluded=first))
    assert pairs == ["s9s2", "s4s6", "s3s0", "s2s7", "s4s7", "s2s5", "s1s4", "s4s0"]


def test_candidates_of_a_group_do_not_depend_on_earlier_lists() -> None:
    first = weighted_harness(RISING_WEIGHTS)
    second = weighted_harness(dict.fromkeys(NAMES, 3.0))
    second.update_endpoints(*reversed(weighted_endpoints(RISING_WEIGHTS)))
    for number in range(200):
        connection = connection_of(f"g{number}")
        assert pick(first, connection) == pick(second, connection)


def test_last_servers_that_are_not_ejected_are_drawn_by_weight() -> None:
    """If nearly all servers are ejected, all ready servers are searched instead of the lookup table."""
    weights = {"heavy": 3.0, "light": 1.0} | {f"ejected{number}": 100.0 for number in range(60)}
    harness = weighted_harness(weights)
    for name, server in harness.balancer.endpoints.servers.items():
        if name.startswith("ejected"):
            server.ejection.record_failure(harness.now_us)
    drawn = Counter(pick(harness) for _ in range(2000))
    assert set(drawn) == {"heavy", "light"}
    assert 2.3 < drawn["heavy"] / drawn["light"] < 3.9
