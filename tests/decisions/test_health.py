"""Health checks and outlier ejection."""

from support.balancer_harness import SECOND_US, BalancerHarness, of_type

from wheatstile import interface as api


def test_first_check_that_is_turned_away_is_no_failure() -> None:
    """Fifty balancers that asked at once filled the server's probe room, and each moved all it had there."""
    harness = BalancerHarness("a", "b", "c", loads={"a": 0.6, "b": 0.4, "c": 0.4})
    harness.connect("c0", "a")
    load = harness.balancer.endpoints.servers["a"].load
    load.record_report({"load": 0.6}, harness.now)
    load.record_message_latency(500.0)
    moves = []
    for _ in range(2):
        harness.dispatch(api.MessageLatencyChanged("c0", "a", 400.0))
        while not harness.probes:
            harness.run_to_next_timer()
        assert harness.probes.pop() == "a"
        moves.append(
            of_type(harness.dispatch(api.HealthCheckResult("a", api.AttemptOutcome.OVERLOADED)), api.Migrate)
        )
        harness.run(SECOND_US)
    assert moves == [[], [api.Migrate("c0")]]  # the second time running it is as good as silence


def test_check_turned_away_where_latency_grows_is_a_failure() -> None:
    """A hung server's probe room fills up with probes that it never answers."""
    harness = BalancerHarness("a", "b", "c")
    harness.connect("c0", "a")
    harness.balancer.endpoints.servers["a"].load.record_report({"load": 0.6}, harness.now)
    harness.dispatch(api.MessageLatencyChanged("c0", "a", 4000.0))
    while not harness.probes:
        harness.run_to_next_timer()
    assert of_type(
        harness.dispatch(api.HealthCheckResult("a", api.AttemptOutcome.OVERLOADED)), api.Migrate
    ) == [api.Migrate("c0")]


def test_no_check_where_checks_are_not_allowed() -> None:
    harness = BalancerHarness("a", "b", "c", health_checks_enabled=False)
    harness.connect("c0", "a")
    harness.dispatch(api.MessageLatencyChanged("c0", "a", 400.0))
    harness.run(20 * SECOND_US)
    assert not of_type(harness.log, api.CheckHealth)


def test_answered_check_does_not_end_an_ejection() -> None:
    """A server that hangs may still answer probes beside its queue, and was sent set-ups each time."""
    harness = BalancerHarness("a", "b", "c")
    harness.request("r", 20 * SECOND_US)
    failed = of_type(harness.log, api.StartAttempt)[0].server
    harness.dispatch(api.AttemptEnded("r", 0, failed, api.AttemptOutcome.TIMEOUT, SECOND_US))
    harness.connect("c0", failed)
    harness.dispatch(api.MessageLatencyChanged("c0", failed, 400.0))
    harness.run(SECOND_US // 2)
    mark = len(of_type(harness.log, api.StartAttempt))
    for index in range(30):
        harness.request(f"x{index}")
    sent = {send.server for send in of_type(harness.log, api.StartAttempt)[mark:] if send.id != "r"}
    assert failed not in sent
    assert len(sent) == 2


def test_check_that_was_not_sent_says_nothing_of_its_server() -> None:
    """Out of descriptors of its own, a balancer took every server that it could not ask for a failed one."""
    for outcome, suspected in (("not_sent", False), ("connect_failed", True)):
        harness = BalancerHarness("a", "b")
        harness.dispatch(api.Request("r", "web", 2 * SECOND_US))
        harness.dispatch(api.HealthCheckResult(harness.probes.pop(), api.AttemptOutcome(outcome)))
        servers = harness.balancer.endpoints.servers.values()
        assert any(server.ejection.is_active(harness.now) for server in servers) == suspected


def test_server_that_answers_checks_with_errors_keeps_its_clients_and_gets_no_more() -> None:
    """It answered within 3 ms, twice with ERR, and all that it held was moved away."""
    harness = BalancerHarness("a", "b", "c", reports_message_latency=False)
    for index in range(40):
        harness.connect(f"c{index}", "a")
    for _ in range(3):
        while "a" not in harness.probes:
            harness.run_to_next_timer()
            for name in [name for name in harness.probes if name != "a"]:
                harness.probes.remove(name)
                harness.dispatch(api.HealthCheckResult(name, api.AttemptOutcome.OK, 1000, {"load": 0.4}))
        harness.probes.remove("a")
        assert not of_type(
            harness.dispatch(api.HealthCheckResult("a", api.AttemptOutcome.ERROR)), api.Migrate
        )
        harness.request("r")
        assert of_type(harness.log, api.StartAttempt)[-1].server != "a"
        harness.dispatch(api.ClientDisconnected("r"))
