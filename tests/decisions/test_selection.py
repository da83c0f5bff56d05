"""Which candidates are drawn, and which of them is chosen."""

from support.balancer_harness import SECOND_US, BalancerHarness, entries, of_type

from wheatstile import interface as api
from wheatstile.decisions.server_load import OVERLOAD_THRESHOLD


def test_every_balancer_draws_the_same_candidates_for_a_key() -> None:
    """Packets that landed mid-flow at another balancer were reset: it knew no better than to draw anew."""
    names = [f"s{index}" for index in range(20)]
    there = [api.Endpoint(name, api.EndpointState.READY, "there") for name in names[10:]]
    one, two = (
        BalancerHarness(*names, seed=1, cross_zone_cost=0.1),
        BalancerHarness(*names, seed=2, cross_zone_cost=0.1),
    )
    kept = 0
    for harness in (one, two):
        harness.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.FULL, entries(*names[:10]) + there))
    for index in range(200):
        one.request(f"r{index}", key=f"k{index}")
        two.dispatch(api.Request(f"r{index}", "web", 2 * SECOND_US, f"k{index}", midflow=True))
        kept += of_type(one.log, api.StartAttempt)[-1].server == of_type(two.log, api.StartAttempt)[-1].server
    assert kept > 150  # of two candidates the own zone's, unless the other is clearly less loaded


def test_affinity_group_grows_to_the_same_servers_everywhere() -> None:
    """Beyond its pair each balancer drew others, until each server paid for each group and none had room."""
    names = [f"s{index}" for index in range(20)]
    for group in ("g1", "g2", "g3"):
        first = BalancerHarness(*names, fleet_size=50)
        probes = first.dispatch(api.Request("r", "web", SECOND_US, "k", affinity_group=group))
        full = dict.fromkeys(
            (probe.server for probe in of_type(probes, api.CheckHealth)), OVERLOAD_THRESHOLD + 0.1
        )
        assert len(full) == 2
        chosen = set()
        for seed in range(2, 8):
            harness = BalancerHarness(
                *names, fleet_size=50, seed=seed, loads=dict.fromkeys(names, 0.4) | full
            )
            harness.request("r", affinity_group=group)
            harness.run(SECOND_US)
            chosen |= {send.server for send in of_type(harness.log, api.StartAttempt)}
        assert len(chosen) <= 2
        assert not chosen & set(full)


def test_crossing_zones_has_its_cost() -> None:
    harness = BalancerHarness("a", "b", loads={"a": 0.45, "b": 0.4}, cross_zone_cost=0.1)
    harness.dispatch(
        api.EndpointUpdate(
            api.EndpointUpdateKind.FULL, [*entries("a"), api.Endpoint("b", api.EndpointState.READY, "there")]
        )
    )
    harness.request("r")
    assert of_type(harness.log, api.StartAttempt)[-1].server == "a"
    harness.loads["a"] = 0.95
    harness.request("r2")
    assert of_type(harness.log, api.StartAttempt)[-1].server == "b"


def test_clients_of_one_affinity_group_draw_the_same_candidates() -> None:
    """A group's connections used to be spread over all servers, each of which pays for the group."""
    pairs = set()
    for index in range(8):
        harness = BalancerHarness(*"abcdefgh", seed=index)
        harness.dispatch(
            api.Request(
                "r", "web", 2 * SECOND_US, f"k{index}", reconnecting=index % 2 > 0, affinity_group="g"
            )
        )
        pairs.add(frozenset(harness.probes))
    assert len(pairs) == 1


def test_ejected_servers_that_answer_are_used_when_no_other_is_left() -> None:
    """They were drawn, dropped again and drawn again until the client's time was out."""
    harness = BalancerHarness("a", "b")
    for id in ("p", "q"):
        harness.request(id, expires_in_us=10 * SECOND_US)
        sent = of_type(harness.log, api.StartAttempt)[-1]
        harness.dispatch(api.AttemptEnded(id, 0, sent.server, api.AttemptOutcome.CONNECT_FAILED))
        harness.dispatch(api.ClientDisconnected(id))
    assert {send.server for send in of_type(harness.log, api.StartAttempt)} == {"a", "b"}
    harness.request("r", expires_in_us=SECOND_US // 2)
    assert [send.id for send in of_type(harness.log, api.StartAttempt)][-1] == "r"
