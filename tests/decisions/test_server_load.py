"""How loads are read from reports."""

from support.balancer_harness import SECOND_US, BalancerHarness

from wheatstile import interface as api


def test_reports_of_attempts_are_read_without_health_checks() -> None:
    harness = BalancerHarness("a", "b", health_checks_enabled=False)
    for index in range(40):
        harness.request(f"r{index}")
        server = harness.attempted_servers[-1]
        report = {"load": 0.6 if server == "a" else 0.1}
        harness.dispatch(api.AttemptEnded(f"r{index}", 0, server, api.AttemptOutcome.OK, 1000, True, report))
    assert set(harness.attempted_servers[-10:]) == {"b"}


def test_counts_rank_servers_but_make_none_full() -> None:
    harness = BalancerHarness("a", "b", load_metrics=("inflight",))
    for index in range(30):
        harness.dispatch(api.Request(f"r{index}", "web", 2 * SECOND_US))
        for server in harness.pending_checks:
            harness.answer_check(server, inflight=40.0 if server == "a" else 30.0)
        harness.pending_checks.clear()
    assert harness.attempted_servers == ["b"] * 30
