"""Tests that connections are migrated from overloaded servers while the fleet has capacity."""

import pytest
from support.balancer_harness import SECOND_US, BalancerHarness, of_type

from wheatstile import interface as api
from wheatstile.decisions.server_load import OVERLOAD_THRESHOLD


def checks_of(server: str, actions: list[api.Action]) -> int:
    """Return the number of health checks of a server among these actions."""
    return sum(check.server == server for check in of_type(actions, api.CheckHealth))


def test_server_with_high_message_latency_loses_its_excess_connections() -> None:
    harness = BalancerHarness("a", "b", "c", loads={"a": 2.0, "b": 0.5, "c": 0.5})
    harness.connect_many(60, "a")
    harness.report_latency("c0", "a", 400.0)
    migrated = of_type(harness.run(SECOND_US // 2), api.Migrate)
    assert 30 <= len(migrated) <= 55
    remaining = min(connection.id for connection in harness.balancer.connections.established)
    assert not of_type(harness.report_latency(remaining, "a", 400.0), api.CheckHealth)


def test_unreachable_server_loses_all_connections() -> None:
    harness = BalancerHarness("a", "b", "c")
    harness.unresponsive = {"a"}
    harness.connect("c0", "a")
    harness.report_latency("c0", "a", 9000.0)
    assert of_type(harness.run(SECOND_US // 2), api.Migrate) == [api.Migrate("c0")]
    for index in range(30):
        harness.request(f"r{index}")
    assert "a" not in harness.attempted_servers


def test_health_checks_after_high_message_latency_are_jittered() -> None:
    """All balancers learn of a server's latency at the same moment, and must not all check it then."""
    delays = set()
    for seed in range(20):
        harness = BalancerHarness("a", "b", "c", seed=seed)
        harness.connect("c0", "a")
        assert not of_type(harness.report_latency("c0", "a", 400.0), api.CheckHealth)
        reported_at_us = harness.now_us
        while not harness.pending_checks:
            harness.run_to_next_timer()
        delays.add((harness.now_us - reported_at_us) // 50_000)
    assert len(delays) >= 6


def migrations_after_latencies(first_ms: float, second_ms: float) -> int:
    """Return the number of migrations from a server with a low reported load and these two latencies."""
    harness = BalancerHarness("a", "b", "c", loads={"a": 0.1, "b": 0.4, "c": 0.4})
    harness.connect_many(60, "a")
    harness.server("a").load.record_message_latency(first_ms)
    harness.report_latency("c0", "a", second_ms)
    return len(of_type(harness.run(SECOND_US // 2), api.Migrate))


def test_growing_latency_overrides_a_stale_load_report() -> None:
    assert 8 <= migrations_after_latencies(300.0, 400.0) <= 30
    assert migrations_after_latencies(400.0, 300.0) == 0


def test_latency_within_the_objective_migrates_no_connection() -> None:
    harness = BalancerHarness("a", "b", loads={"a": 2.0, "b": 0.1})
    harness.connect("c0", "a")
    harness.report_latency("c0", "a", 49.0)
    assert not harness.pending_checks


@pytest.mark.parametrize(
    ("reports_latency", "other_loads", "is_rebalanced"),
    [(False, 0.3, True), (True, 0.3, False), (False, 1.0, False)],
)
def test_load_checks_rebalance_an_overloaded_server(
    reports_latency: bool, other_loads: float, is_rebalanced: bool
) -> None:
    """Load checks replace latency reports, and cause no migration while the whole fleet is overloaded."""
    loads = {"a": 1.4, "b": other_loads, "c": other_loads}
    harness = BalancerHarness("a", "b", "c", loads=loads, reports_message_latency=reports_latency)
    for number in range(8):
        harness.request(f"r{number}")
    for index in range(40):
        harness.connect(f"c{index}", "a")
        harness.dispatch(api.ConnectionLoadChanged(f"c{index}", "a", 1000.0))
    assert (len(of_type(harness.run(3 * SECOND_US), api.Migrate)) > 5) is is_rebalanced


@pytest.mark.parametrize(("stays_unresponsive", "migrations"), [(False, 0), (True, 40)])
def test_unanswered_load_check_is_repeated_before_any_migration(
    stays_unresponsive: bool, migrations: int
) -> None:
    harness = BalancerHarness("a", "b", "c", reports_message_latency=False)
    harness.connect_many(40, "a")
    while "a" not in harness.pending_checks:
        harness.run_to_next_timer()
    harness.pending_checks.remove("a")
    assert not of_type(harness.answer_check("a", api.AttemptOutcome.TIMEOUT), api.Migrate)
    harness.unresponsive = {"a"} if stays_unresponsive else set()
    assert len(of_type(harness.run(SECOND_US), api.Migrate)) == migrations


@pytest.mark.parametrize(
    ("load", "reports_latency", "is_rebalanced"),
    [(1.4, False, True), (1.4, True, False), (0.78, False, False)],
)
def test_any_report_of_severe_overload_rebalances_a_server(
    load: float, reports_latency: bool, is_rebalanced: bool
) -> None:
    harness = BalancerHarness("a", "b", loads={"a": load, "b": 0.2}, reports_message_latency=reports_latency)
    harness.connect_many(40, "a")
    harness.request("new")
    assert bool(of_type(harness.actions, api.Migrate)) == is_rebalanced


def test_endpoint_change_makes_load_checks_more_frequent() -> None:
    harness = BalancerHarness("a", "b", "c", reports_message_latency=False)
    harness.connect("c", "a")
    harness.run(60 * SECOND_US)
    before = len(of_type(harness.run(8 * SECOND_US), api.CheckHealth))
    harness.update_endpoints(api.Endpoint("c", api.EndpointState.DRAINING, "here"))
    after = len(of_type(harness.run(8 * SECOND_US), api.CheckHealth))
    assert after > before


def test_new_connections_are_not_migrated_before_the_settling_time() -> None:
    """The work of many setups briefly counts as load."""
    harness = BalancerHarness("a", "b", loads={"a": 0.3, "b": 0.3}, reports_message_latency=False)
    for number in range(60):
        harness.request(f"r{number}", key=f"k{number}")
        harness.establish(f"r{number}")
    harness.loads = {"a": 1.3, "b": 0.3}
    harness.request("next")
    assert not of_type(harness.actions, api.Migrate)
    harness.run(30 * SECOND_US)
    assert of_type(harness.actions, api.Migrate)


def test_overloaded_server_is_checked_until_its_load_falls() -> None:
    harness = BalancerHarness("a", "b", loads={"a": 0.85, "b": 0.3}, reports_message_latency=False)
    for index in range(100):
        harness.connect(f"c{index}", "a" if index < 8 else "b")
    while not checks_of("a", harness.actions):
        harness.run_to_next_timer()
    harness.answer_checks()
    assert checks_of("a", harness.run(4 * SECOND_US + SECOND_US // 2)) >= 4
    harness.loads["a"] = OVERLOAD_THRESHOLD
    harness.run(2 * SECOND_US)
    assert checks_of("a", harness.run(8 * SECOND_US)) <= 3
