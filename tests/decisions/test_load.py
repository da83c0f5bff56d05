"""How loads are read, and when the fleet counts as full."""

from support.balancer_harness import SECOND_US, BalancerHarness, of_type

from wheatstile import interface as api
from wheatstile.decisions.server_load import OVERLOAD_THRESHOLD


def test_unread_load_is_unknown_and_not_idle() -> None:
    harness = BalancerHarness("a", "b", loads={"a": 0.3, "b": 0.3})
    harness.dispatch(api.Request("r", "web", 2 * SECOND_US))
    harness.probes.clear()
    harness.dispatch(api.HealthCheckResult("a", api.AttemptOutcome.OK, 10, {"load": 0.3}))
    harness.dispatch(api.HealthCheckResult("b", api.AttemptOutcome.OK, 10, {}))
    assert of_type(harness.log, api.StartAttempt)[-1].server == "a"


def test_reports_in_answers_are_read_without_health_checks() -> None:
    harness = BalancerHarness("a", "b", health_checks_enabled=False)
    for index in range(40):
        harness.request(f"r{index}")
        server = of_type(harness.log, api.StartAttempt)[-1].server
        report = {"load": 0.6 if server == "a" else 0.1}
        harness.dispatch(api.AttemptEnded(f"r{index}", 0, server, api.AttemptOutcome.OK, 1000, True, report))
    assert {send.server for send in of_type(harness.log, api.StartAttempt)[-10:]} == {"b"}


def test_counts_rank_servers_but_do_not_fill_them() -> None:
    """Read as a load, forty requests in hand made every server look full and refused all."""
    harness = BalancerHarness("a", "b", load_metrics=("inflight",))
    for index in range(30):
        harness.dispatch(api.Request(f"r{index}", "web", 2 * SECOND_US))
        for server in harness.probes:
            harness.dispatch(
                api.HealthCheckResult(
                    server, api.AttemptOutcome.OK, 1000, {"inflight": 40.0 if server == "a" else 30.0}
                )
            )
        harness.probes.clear()
    assert [send.server for send in of_type(harness.log, api.StartAttempt)] == ["b"] * 30


def test_unreachable_servers_do_not_make_the_fleet_look_full() -> None:
    """One server at ten times its load pulled the mean over the mark and had others' newcomers refused."""
    harness = BalancerHarness("a", "b", "c", "d", loads={"a": 10.0, "b": 0.3, "c": 0.3, "d": 0.3})
    for index in range(300):
        harness.request(f"r{index}")
    assert harness.balancer.fleet_load.mean() < OVERLOAD_THRESHOLD


def test_two_full_servers_in_the_own_zone_do_not_make_the_fleet_look_full() -> None:
    """Draws prefer the own site; a mean over draws rose above 0.7 there, and most clients were refused."""
    loads = {"a": 1.2, "b": 1.2, "c": 0.4, "d": 0.4, "e": 0.4}
    harness = BalancerHarness(*"abcde", loads=loads, cross_zone_cost=0.01)
    for name in "cde":
        harness.dispatch(
            api.EndpointUpdate(
                api.EndpointUpdateKind.DELTA, [api.Endpoint(name, api.EndpointState.READY, "there")]
            )
        )
    for number in range(200):
        harness.request(f"r{number}", key=f"k{number}")
        harness.run(SECOND_US // 10)
    assert not of_type(harness.log, api.Reject)
    assert harness.balancer.fleet_load.mean() < OVERLOAD_THRESHOLD
