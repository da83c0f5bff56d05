"""The ratio rule against Proposition 1, gamma, and the uniform draw."""

from collections import Counter

import pytest
from support.balancer_harness import SECOND_US, BalancerHarness, entries, of_type

from wheatstile import Balancer
from wheatstile import interface as api
from wheatstile.decisions.exploration import BETA, GAMMA_CAP, SLOT_US, gamma_at, return_probability


def test_gamma_is_capped_and_then_decays() -> None:
    assert 0.5 <= BETA <= 1
    assert gamma_at(0) == gamma_at(1) == GAMMA_CAP
    late = int(GAMMA_CAP ** (-1 / BETA)) + 2
    assert gamma_at(late) == pytest.approx(late**-BETA)
    assert gamma_at(4 * late) == pytest.approx(gamma_at(late) * 4**-BETA, rel=1e-6)


@pytest.mark.parametrize(("x_j", "chance"), [(1.0, 1.0), (1.2, 1.0), (0.5, 0.0), (0.0, 0.0)])
def test_bands_that_are_certain(x_j: float, chance: float) -> None:
    assert return_probability(1.0, x_j, n=10, gamma=0.05) == chance


def test_between_the_bands_the_chance_is_linear() -> None:
    n, gamma = 10, 0.09
    edge = n * gamma / (n - 1)  # 0.1
    assert return_probability(1.0, 1 - edge, n, gamma) == 0.0
    assert return_probability(1.0, 1 - edge / 2, n, gamma) == pytest.approx(0.5)
    assert return_probability(1.0, 1 - edge / 4, n, gamma) == pytest.approx(0.75)
    assert return_probability(2.0, 2 - edge / 2, n, gamma) == pytest.approx(0.75)


def test_expected_loads_even_out() -> None:
    """The identity behind the rule: what flows from i to j and stays evens the two expected loads."""
    n, gamma, x_i, x_j = 2, 0.4, 1.0, 0.7
    stays_at_j = x_i * gamma * (1 - return_probability(x_i, x_j, n, gamma))
    stays_at_i = x_j * gamma * (1 - return_probability(x_j, x_i, n, gamma))
    assert x_i - stays_at_j + stays_at_i == pytest.approx(x_j + stays_at_j - stays_at_i)


def test_one_server_leaves_nowhere_to_return_from() -> None:
    assert return_probability(1.0, 0.5, n=1, gamma=0.05) == 0.0


def explored(harness: BalancerHarness, number: int) -> list[api.Migrate]:
    for index in range(number):
        harness.connect(f"c{index}", "a", f"k{index}")
    return of_type(harness.run(SLOT_US), api.Migrate)


def test_share_that_explores_is_gamma() -> None:
    moves = sum(len(explored(BalancerHarness("a", "b", "c", seed=seed), 2000)) for seed in range(5))
    assert moves == pytest.approx(10000 * GAMMA_CAP, rel=0.25)


def test_explorers_go_uniformly_to_the_other_servers() -> None:
    targets: Counter[str] = Counter()
    for seed in range(20):
        harness = BalancerHarness("a", "b", "c", "d", seed=seed)
        for move in explored(harness, 2000):
            harness.request(f"again-{move.id}", key=f"k{move.id[1:]}", reconnecting=True)
        targets.update(send.server for send in of_type(harness.log, api.StartAttempt))
    assert set(targets) == {"b", "c", "d"}
    assert min(targets.values()) > 0.8 * sum(targets.values()) / 3


def explore_one(harness: BalancerHarness) -> str:
    """Let one connection on a explore and come back here; the server that it now is on."""
    moves = explored(harness, 1000)
    assert moves
    harness.request("again", key=f"k{moves[0].id[1:]}", reconnecting=True)
    return harness.establish("again")


@pytest.mark.parametrize(("after", "returns"), [(0.5, True), (0.4, True), (0.1, False)])
def test_next_slot_compares_the_load_before_with_the_load_after(after: float, returns: bool) -> None:
    harness = BalancerHarness("a", "b", loads={"a": 0.4, "b": 0.3})
    assert explore_one(harness) == "b"
    harness.loads["b"] = after
    moved = [move.id for move in of_type(harness.run(SLOT_US), api.Migrate)]
    assert ("again" in moved) is returns
    if returns:
        harness.request(
            "home", key=next(f"k{m.id[1:]}" for m in of_type(harness.log, api.Migrate)), reconnecting=True
        )
        assert of_type(harness.log, api.StartAttempt)[-1].server == "a"


def test_a_refusal_after_a_move_counts_as_a_load_above() -> None:
    harness = BalancerHarness("a", "b", "c", loads={"a": 0.4, "b": 0.3, "c": 0.3})
    moves = explored(harness, 1000)
    harness.request("again", key=f"k{moves[0].id[1:]}", reconnecting=True)
    target = of_type(harness.log, api.StartAttempt)[-1].server
    assert target != "a"
    harness.dispatch(api.AttemptEnded("again", 0, target, api.AttemptOutcome.OVERLOADED))
    assert [send.server for send in of_type(harness.log, api.StartAttempt)] == [target, "a"]


def test_a_drop_after_a_move_counts_as_a_load_above() -> None:
    harness = BalancerHarness("a", "b", loads={"a": 0.4, "b": 0.3})
    assert explore_one(harness) == "b"
    key = f"k{of_type(harness.log, api.Migrate)[0].id[1:]}"
    harness.dispatch(api.AttemptEnded("again", 0, "b", api.AttemptOutcome.RESET, closed=True))
    harness.request("home", key=key, reconnecting=True)
    assert of_type(harness.log, api.StartAttempt)[-1].server == "a"


def test_a_fleet_of_one_does_not_explore() -> None:
    assert explored(BalancerHarness("a"), 2000) == []


def test_slots_start_at_a_seeded_phase() -> None:
    first = {BalancerHarness("a", seed=seed).timers[0][0] for seed in range(8)}
    assert len(first) == 8
    assert all(0 < at - 1000 * SECOND_US <= SLOT_US for at in first)


def test_newcomers_go_to_the_better_of_two_random_servers() -> None:
    names = ("a", "b", "c", "d")
    harness = BalancerHarness(*names, loads={"a": 0.1, "b": 0.2, "c": 0.3, "d": 0.5})
    for index in range(1200):
        harness.request(f"r{index}", key=f"k{index}")
    sent = Counter(send.server for send in of_type(harness.log, api.StartAttempt))
    for name, pairs in zip(names, (3, 2, 1, 0), strict=True):  # of six pairs, those that it wins
        assert sent[name] == pytest.approx(1200 * pairs / 6, rel=0.15)


def test_same_seed_and_events_give_the_same_actions() -> None:
    def play(seed: int) -> list[api.Action]:
        harness = BalancerHarness("a", "b", "c", seed=seed)
        for index in range(200):
            harness.request(f"r{index}", key=f"k{index}")
        harness.run(10 * SECOND_US)
        return harness.log

    assert play(3) == play(3)
    assert play(3) != play(4)


def test_instances_share_nothing() -> None:
    one, two = BalancerHarness("a", "b"), BalancerHarness("a", "b")
    one.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.FULL, entries("a")))
    assert isinstance(two.balancer, Balancer)
    two.loads = {"a": 0.6, "b": 0.1}
    two.request("r")
    assert of_type(two.log, api.StartAttempt)[-1].server == "b"
