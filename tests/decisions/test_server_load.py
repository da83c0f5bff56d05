"""Tests of the load in a report, and of the recorded load of a server."""

import pytest
from support.balancer_harness import SECOND_US, BalancerHarness

from wheatstile import interface as api
from wheatstile.decisions.server_load import UNREACHABLE_LOAD, ServerLoad, load_from_report

NOW_US = 100 * SECOND_US


@pytest.mark.parametrize(
    ("report", "load"),
    [
        ({"load": 1.4}, 1.4),
        ({"busy": 0.5}, 0.5),
        ({"backlog_s": 0.2}, 0.2),
        ({"load": 0.0}, 0.0),
        ({"inflight": 0.0}, 0.0),
        ({"inflight": 100.0}, 0.35),
        ({"queue": 300.0}, 0.525),
        ({}, None),
        ({"latency_ms": 7.0, "served_per_s": 3.0, "errors_per_s": 1.0}, None),
    ],
)
def test_load_is_read_from_the_metrics_of_a_report(report: api.LoadReport, load: float | None) -> None:
    assert load_from_report(report) == load


def test_first_metric_in_the_order_of_preference_is_the_load() -> None:
    report = {"queue": 300.0, "inflight": 100.0, "backlog_s": 0.2, "busy": 0.5, "load": 0.3}
    loads = []
    while report:
        loads.append(load_from_report(report))
        report.popitem()
    assert loads == [0.3, 0.5, 0.2, 0.35, 0.525]


def test_count_never_reaches_the_overload_threshold() -> None:
    load = load_from_report({"inflight": 1e9})
    assert load is not None
    assert 0.699_999 < load < 0.7


def test_report_sets_the_load_and_its_time() -> None:
    load = ServerLoad()
    assert (load.value, load.is_measured) == (None, False)
    load.record_report({"load": 0.6}, NOW_US)
    assert (load.value, load.reported_at_us, load.is_measured) == (0.6, NOW_US, True)
    load.record_report({}, NOW_US + 1)
    assert (load.value, load.reported_at_us, load.is_measured) == (None, NOW_US + 1, False)


def test_load_is_not_measured_after_a_failed_check() -> None:
    load = ServerLoad()
    load.record_report({"load": 0.6}, NOW_US)
    load.mark_unreachable()
    assert (load.value, load.is_measured) == (UNREACHABLE_LOAD, False)
    load.mark_unknown()
    assert (load.value, load.is_measured) == (None, False)


def test_lower_bound_follows_the_change_of_the_message_latency() -> None:
    load = ServerLoad()
    bounds = []
    for latency_ms in (10.0, 20.0, 20.0, 30.0, 5.0):
        load.record_message_latency(latency_ms)
        bounds.append(load.lower_bound)
    assert bounds == [1.0, 1.0, 0.0, 1.0, 0.0]


def test_reports_of_attempts_are_read_without_health_checks() -> None:
    harness = BalancerHarness("a", "b", health_checks_enabled=False)
    for index in range(40):
        harness.request(f"r{index}")
        server = harness.attempted_servers[-1]
        report = {"load": 0.6 if server == "a" else 0.1}
        harness.dispatch(api.AttemptEnded(f"r{index}", 0, server, api.AttemptOutcome.OK, 1000, True, report))
    assert set(harness.attempted_servers[-10:]) == {"b"}


def test_counts_rank_servers_but_never_mark_one_overloaded() -> None:
    harness = BalancerHarness("a", "b", load_metrics=("inflight",))
    for index in range(30):
        harness.dispatch(api.Request(f"r{index}", "web", 2 * SECOND_US))
        for server in harness.pending_checks:
            harness.answer_check(server, inflight=40.0 if server == "a" else 30.0)
        harness.pending_checks.clear()
    assert harness.attempted_servers == ["b"] * 30
