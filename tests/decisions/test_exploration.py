"""Tests of the exploration probability, the ratio rule of Proposition 1, and the moves of connections."""

from collections import Counter

import pytest
from support.balancer_harness import START_US, BalancerHarness, of_type

from wheatstile import interface as api
from wheatstile.decisions.exploration import BETA, GAMMA_CAP, SLOT_US, gamma_at, return_probability


def test_gamma_is_capped_and_then_decays() -> None:
    assert 0.5 <= BETA <= 1
    assert gamma_at(0) == gamma_at(1) == GAMMA_CAP
    late = int(GAMMA_CAP ** (-1 / BETA)) + 2
    assert gamma_at(late) == pytest.approx(late**-BETA)
    assert gamma_at(4 * late) == pytest.approx(gamma_at(late) * 4**-BETA, rel=1e-6)


@pytest.mark.parametrize(("x_j", "probability"), [(1.0, 1.0), (1.2, 1.0), (0.5, 0.0), (0.0, 0.0)])
def test_return_probability_is_zero_or_one_outside_the_band(x_j: float, probability: float) -> None:
    assert return_probability(1.0, x_j, n=10, gamma=0.05) == probability


def test_return_probability_is_linear_inside_the_band() -> None:
    gamma = 0.09
    band = 10 * gamma / 9
    assert return_probability(1.0, 1 - band, 10, gamma) == 0.0
    assert return_probability(1.0, 1 - band / 2, 10, gamma) == pytest.approx(0.5)
    assert return_probability(1.0, 1 - band / 4, 10, gamma) == pytest.approx(0.75)
    assert return_probability(2.0, 2 - band / 2, 10, gamma) == pytest.approx(0.75)


def test_expected_loads_are_equal_after_the_returns() -> None:
    """The identity behind the ratio rule: moves without a return make the two expected loads equal."""
    gamma = 0.4
    x_i = 1.0
    x_j = 0.7
    stays_at_j = x_i * gamma * (1 - return_probability(x_i, x_j, 2, gamma))
    stays_at_i = x_j * gamma * (1 - return_probability(x_j, x_i, 2, gamma))
    assert x_i - stays_at_j + stays_at_i == pytest.approx(x_j + stays_at_j - stays_at_i)


def test_return_probability_is_zero_with_one_server() -> None:
    assert return_probability(1.0, 0.5, n=1, gamma=0.05) == 0.0


def run_exploration_slot(harness: BalancerHarness, connections: int) -> list[api.Migrate]:
    """Add the connections c0, c1 and so on at server "a", and run one slot. Return the migrations."""
    for index in range(connections):
        harness.connect(f"c{index}", "a", f"k{index}")
    return of_type(harness.run(SLOT_US), api.Migrate)


def key_of(move: api.Migrate) -> str:
    """Return the client key of a connection that `run_exploration_slot` added."""
    return f"k{move.id[1:]}"


def migrate_one_by_exploration(harness: BalancerHarness) -> str:
    """Have exploration migrate a connection, whose client reconnects as "moved". Return its server."""
    moves = run_exploration_slot(harness, 1000)
    assert moves
    harness.request("moved", key=key_of(moves[0]), reconnecting=True)
    return harness.establish("moved")


def test_share_of_connections_that_explore_is_gamma() -> None:
    harnesses = [BalancerHarness("a", "b", "c", seed=seed) for seed in range(5)]
    moves = sum(len(run_exploration_slot(harness, 2000)) for harness in harnesses)
    assert moves == pytest.approx(10000 * GAMMA_CAP, rel=0.25)


def test_exploration_targets_are_uniform_over_the_other_servers() -> None:
    targets: Counter[str] = Counter()
    for seed in range(20):
        harness = BalancerHarness("a", "b", "c", "d", seed=seed)
        for move in run_exploration_slot(harness, 2000):
            harness.request(f"moved-{move.id}", key=key_of(move), reconnecting=True)
        targets.update(harness.attempted_servers)
    assert set(targets) == {"b", "c", "d"}
    assert min(targets.values()) > 0.8 * sum(targets.values()) / 3


@pytest.mark.parametrize(("load_after", "goes_back"), [(0.5, True), (0.4, True), (0.1, False)])
def test_next_slot_returns_the_client_unless_the_new_server_has_a_lower_load(
    load_after: float, goes_back: bool
) -> None:
    harness = BalancerHarness("a", "b", loads={"a": 0.4, "b": 0.3})
    assert migrate_one_by_exploration(harness) == "b"
    harness.loads["b"] = load_after
    migrated = [move.id for move in of_type(harness.run(SLOT_US), api.Migrate)]
    assert ("moved" in migrated) is goes_back
    if goes_back:
        first_move = of_type(harness.actions, api.Migrate)[0]
        harness.request("back", key=key_of(first_move), reconnecting=True)
        assert harness.attempted_servers[-1] == "a"


def test_rejection_after_a_move_counts_as_a_higher_load() -> None:
    harness = BalancerHarness("a", "b", "c", loads={"a": 0.4, "b": 0.3, "c": 0.3})
    moves = run_exploration_slot(harness, 1000)
    harness.request("moved", key=key_of(moves[0]), reconnecting=True)
    target = harness.attempted_servers[-1]
    assert target != "a"
    harness.end_attempt("moved", api.AttemptOutcome.OVERLOADED)
    assert harness.attempted_servers == [target, "a"]


def test_failed_connection_after_a_move_counts_as_a_higher_load() -> None:
    harness = BalancerHarness("a", "b", loads={"a": 0.4, "b": 0.3})
    assert migrate_one_by_exploration(harness) == "b"
    key = key_of(of_type(harness.actions, api.Migrate)[0])
    harness.dispatch(api.AttemptEnded("moved", 0, "b", api.AttemptOutcome.RESET, closed=True))
    harness.request("back", key=key, reconnecting=True)
    assert harness.attempted_servers[-1] == "a"


def test_fleet_of_one_server_does_not_explore() -> None:
    assert run_exploration_slot(BalancerHarness("a"), 2000) == []


def test_phase_of_the_slots_is_drawn_from_the_seed() -> None:
    first_due = {BalancerHarness("a", seed=seed).timers[0].due_us for seed in range(8)}
    assert len(first_due) == 8
    assert all(0 < due_us - START_US <= SLOT_US for due_us in first_due)
