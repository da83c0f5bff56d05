"""Connections leave overloaded servers while the fleet has room."""

from support.balancer_harness import SECOND_US, BalancerHarness, of_type

from wheatstile import interface as api
from wheatstile.decisions.server_load import OVERLOAD_THRESHOLD


def test_server_with_late_messages_loses_its_excess() -> None:
    """A server that runs slow kept nearly all its connections for as long as it was slow."""
    harness = BalancerHarness("a", "b", "c", loads={"a": 2.0, "b": 0.5, "c": 0.5})
    for index in range(60):
        harness.connect(f"c{index}", "a")
    harness.dispatch(api.MessageLatencyChanged("c0", "a", 400.0))
    moved = of_type(harness.run(SECOND_US // 2), api.Migrate)
    assert 30 <= len(moved) <= 55
    assert not of_type(
        harness.dispatch(
            api.MessageLatencyChanged(
                sorted(connection.id for connection in harness.balancer.connections.established)[0],
                "a",
                400.0,
            )
        ),
        api.CheckHealth,
    )


def test_unreachable_server_loses_all() -> None:
    harness = BalancerHarness("a", "b", "c")
    harness.silent = {"a"}
    harness.connect("c0", "a")
    harness.dispatch(api.MessageLatencyChanged("c0", "a", 9000.0))
    assert of_type(harness.run(SECOND_US // 2), api.Migrate) == [api.Migrate("c0")]
    for index in range(30):
        harness.request(f"r{index}")
    assert "a" not in {send.server for send in of_type(harness.log, api.StartAttempt)}


def test_load_checks_after_late_messages_are_spread() -> None:
    """The delays of one server are told to all balancers in the same instant."""
    reads = set()
    for seed in range(20):
        harness = BalancerHarness("a", "b", "c", seed=seed)
        harness.connect("c0", "a")
        assert not of_type(harness.dispatch(api.MessageLatencyChanged("c0", "a", 400.0)), api.CheckHealth)
        start = harness.now
        while not harness.probes:
            harness.run_to_next_timer()
        reads.add((harness.now - start) // 50_000)
    assert len(reads) >= 6


def test_growing_latency_outweighs_a_late_report() -> None:
    """Reports three seconds late said that a server was idle while its messages took ever longer."""
    moved = {}
    for delays in ([300.0, 400.0], [400.0, 300.0]):
        harness = BalancerHarness("a", "b", "c", loads={"a": 0.1, "b": 0.4, "c": 0.4})
        for index in range(60):
            harness.connect(f"c{index}", "a")
        harness.dispatch(
            api.MessageLatencyChanged("c0", "a", delays[0] / 10)
        )  # within the aim: no relief yet
        harness.balancer.endpoints.servers["a"].load.record_message_latency(delays[0])
        harness.dispatch(api.MessageLatencyChanged("c0", "a", delays[1]))
        moved[delays[1]] = len(of_type(harness.run(SECOND_US // 2), api.Migrate))
    assert 8 <= moved[400.0] <= 30
    assert moved[300.0] == 0


def test_messages_within_their_objective_migrate_nobody() -> None:
    harness = BalancerHarness("a", "b", loads={"a": 2.0, "b": 0.1})
    harness.connect("c0", "a")
    harness.dispatch(api.MessageLatencyChanged("c0", "a", 49.0))
    assert not harness.probes


def test_overloaded_server_is_relieved_without_latency_reports() -> None:
    """On sockets a crowded server answers lines at once: nothing but its own report tells that it is full."""
    for told, others, moved in [(False, 0.3, True), (True, 0.3, False), (False, 1.0, False)]:
        harness = BalancerHarness(
            "a", "b", "c", loads={"a": 1.4, "b": others, "c": others}, reports_message_latency=told
        )
        for number in range(8):  # where all are full, none has room for whom another sends away
            harness.request(f"r{number}")
        for index in range(40):
            harness.connect(f"c{index}", "a")
            harness.dispatch(api.ConnectionLoadChanged(f"c{index}", "a", 1000.0))
        assert (len(of_type(harness.run(3 * SECOND_US), api.Migrate)) > 5) is moved


def test_unanswered_load_check_is_repeated_before_anybody_is_migrated() -> None:
    """A server that stands still for 250 ms answers no probe in time; all that it held was moved away."""
    for still, moved in [(False, 0), (True, 40)]:
        harness = BalancerHarness("a", "b", "c", reports_message_latency=False)
        for index in range(40):
            harness.connect(f"c{index}", "a")
        while "a" not in harness.probes:
            harness.run_to_next_timer()
        harness.probes.remove("a")
        assert not of_type(
            harness.dispatch(api.HealthCheckResult("a", api.AttemptOutcome.TIMEOUT)), api.Migrate
        )
        harness.silent = {"a"} if still else set()
        assert len(of_type(harness.run(SECOND_US), api.Migrate)) == moved


def test_any_reading_of_a_full_server_relieves_it() -> None:
    """Read for newcomers at 1.2, a server kept all its clients until it was looked at, seconds later."""
    # Relief from 0.7 on at a single noisy reading moved clients for nothing.
    for load, reports_message_latency, moved in (
        (1.4, False, True),
        (1.4, True, False),
        (0.78, False, False),
    ):
        harness = BalancerHarness(
            "a", "b", loads={"a": load, "b": 0.2}, reports_message_latency=reports_message_latency
        )
        for number in range(40):
            harness.connect(f"c{number}", "a")
        harness.request("newcomer")
        assert bool(of_type(harness.log, api.Migrate)) == moved


def test_endpoint_change_brings_load_checks_forward() -> None:
    harness = BalancerHarness("a", "b", "c", reports_message_latency=False)
    harness.connect("c", "a")
    harness.run(60 * SECOND_US)
    harness.log.clear()
    harness.run(8 * SECOND_US)
    quiet = len(of_type(harness.log, api.CheckHealth))
    harness.dispatch(
        api.EndpointUpdate(
            api.EndpointUpdateKind.DELTA, [api.Endpoint("c", api.EndpointState.DRAINING, "here")]
        )
    )
    harness.log.clear()
    harness.run(8 * SECOND_US)
    assert len(of_type(harness.log, api.CheckHealth)) > quiet


def test_connections_that_have_just_come_stay() -> None:
    """A restarted balancer's clients came within a second; the work of it had 49 of them moved again."""
    harness = BalancerHarness("a", "b", loads={"a": 0.3, "b": 0.3}, reports_message_latency=False)
    for number in range(60):
        harness.request(f"r{number}", key=f"k{number}")
        harness.establish(f"r{number}")
    harness.loads = {"a": 1.3, "b": 0.3}
    harness.request("next")
    assert not of_type(harness.log, api.Migrate)
    harness.run(30 * SECOND_US)
    assert of_type(harness.log, api.Migrate)


def test_full_server_is_checked_until_it_is_not() -> None:
    """A look drawn among many servers met a bad one every 10 s, while its few clients here waited."""
    harness = BalancerHarness("a", "b", loads={"a": 0.85, "b": 0.3}, reports_message_latency=False)
    for index in range(100):
        harness.connect(f"c{index}", "ab"[index >= 8])
    while not [probe for probe in of_type(harness.log, api.CheckHealth) if probe.server == "a"]:
        harness.run_to_next_timer()
    harness.answer_checks()
    mark = len(harness.log)
    harness.run(4 * SECOND_US + SECOND_US // 2)
    assert len([probe for probe in of_type(harness.log[mark:], api.CheckHealth) if probe.server == "a"]) >= 4
    harness.loads["a"] = OVERLOAD_THRESHOLD
    harness.run(2 * SECOND_US)
    mark = len(harness.log)
    harness.run(8 * SECOND_US)
    assert len([probe for probe in of_type(harness.log[mark:], api.CheckHealth) if probe.server == "a"]) <= 3
