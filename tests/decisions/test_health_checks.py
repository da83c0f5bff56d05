"""Tests of the results of health checks, and of the ejections that they cause."""

import pytest
from support.balancer_harness import SECOND_US, BalancerHarness, of_type

from wheatstile import interface as api


def test_first_rejected_check_is_not_a_failure() -> None:
    """Many balancers that check a healthy server at once may overload it briefly; its clients must stay."""
    harness = BalancerHarness("a", "b", "c", loads={"a": 0.6, "b": 0.4, "c": 0.4})
    harness.connect("c0", "a")
    harness.server("a").load.record_report({"load": 0.6}, harness.now_us)
    harness.server("a").load.record_message_latency(500.0)
    migrations = []
    for _ in range(2):
        harness.report_latency("c0", "a", 400.0)
        while not harness.pending_checks:
            harness.run_to_next_timer()
        assert harness.pending_checks.pop() == "a"
        migrations.append(of_type(harness.answer_check("a", api.AttemptOutcome.OVERLOADED), api.Migrate))
        harness.run(SECOND_US)
    # A second rejection in a row counts as an unanswered check.
    assert migrations == [[], [api.Migrate("c0")]]


def test_rejected_check_is_a_failure_while_latency_grows() -> None:
    harness = BalancerHarness("a", "b", "c")
    harness.connect("c0", "a")
    harness.server("a").load.record_report({"load": 0.6}, harness.now_us)
    harness.report_latency("c0", "a", 4000.0)
    while not harness.pending_checks:
        harness.run_to_next_timer()
    migrations = of_type(harness.answer_check("a", api.AttemptOutcome.OVERLOADED), api.Migrate)
    assert migrations == [api.Migrate("c0")]


def test_no_health_check_is_sent_while_checks_are_disabled() -> None:
    harness = BalancerHarness("a", "b", "c", health_checks_enabled=False)
    harness.connect("c0", "a")
    harness.report_latency("c0", "a", 400.0)
    harness.run(20 * SECOND_US)
    assert not of_type(harness.actions, api.CheckHealth)


def test_answered_check_does_not_end_an_ejection() -> None:
    """A server that does not respond to setups may still answer health checks."""
    harness = BalancerHarness("a", "b", "c")
    harness.request("r", 20 * SECOND_US)
    failed = harness.attempted_servers[0]
    harness.end_attempt("r", api.AttemptOutcome.TIMEOUT, elapsed_us=SECOND_US)
    harness.connect("c0", failed)
    harness.report_latency("c0", failed, 400.0)
    harness.run(SECOND_US // 2)
    previous_count = len(harness.attempts)
    for index in range(30):
        harness.request(f"x{index}")
    servers = {attempt.server for attempt in harness.attempts[previous_count:] if attempt.id != "r"}
    assert failed not in servers
    assert len(servers) == 2


@pytest.mark.parametrize(
    ("outcome", "is_ejected"),
    [(api.AttemptOutcome.NOT_SENT, False), (api.AttemptOutcome.CONNECT_FAILED, True)],
)
def test_check_that_was_not_sent_does_not_eject_the_server(
    outcome: api.AttemptOutcome, is_ejected: bool
) -> None:
    harness = BalancerHarness("a", "b")
    harness.dispatch(api.Request("r", "web", 2 * SECOND_US))
    harness.answer_check(harness.pending_checks.pop(), outcome)
    servers = harness.balancer.endpoints.servers.values()
    assert any(server.ejection.is_active(harness.now_us) for server in servers) == is_ejected


def test_server_that_answers_checks_with_errors_keeps_its_clients_and_gets_no_new_ones() -> None:
    harness = BalancerHarness("a", "b", "c", reports_message_latency=False)
    harness.connect_many(40, "a")
    for _ in range(3):
        harness.run_to_check_of("a")
        assert not of_type(harness.answer_check("a", api.AttemptOutcome.ERROR), api.Migrate)
        harness.request("r")
        assert harness.attempted_servers[-1] != "a"
        harness.dispatch(api.ClientDisconnected("r"))
