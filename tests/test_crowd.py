"""What forty balancers do together, on a simple model of servers; the same every time from a seed."""

from dataclasses import replace
from math import sqrt

import pytest
from crowd import Crowd
from world import SECOND

from wheatstile import interface as api
from wheatstile.decisions.load import LOAD_REPORT_TTL_US

WARM = [f"w{number}" for number in range(6)]
WARM_HOLDS, WARM_AFTER = 12, 23 * SECOND


def drain(crowd: Crowd, *names: str, spread: int = SECOND) -> None:
    """These servers send all their clients away at once, who come again within the spread (microseconds)."""
    crowd.relist(*(replace(crowd.entries[name], state=api.EndpointState.DRAINING) for name in names))
    for id in [id for id, (_, server) in crowd.where.items() if server in names]:
        crowd.end(id)
        crowd.arrive(crowd.random.randrange(spread), reconnecting=True)


@pytest.mark.parametrize("seed", range(3))
def test_cold_servers_take_their_part_and_no_more_from_forty_balancers(seed: int) -> None:
    """With budgets guessed from each balancer's few arrivals, cold servers stood empty beside full ones."""
    crowd = Crowd(40, WARM, holds=60, seed=seed)
    crowd.stand(27)
    crowd.run(5 * SECOND)
    cold = [replace(crowd.entries["w0"], name=f"k{number}", started_at_us=crowd.now) for number in range(3)]
    crowd.relist(*cold)
    crowd.run(2 * SECOND)
    drain(crowd, *WARM[:3])  # half the fleet, into which the cold ones come
    crowd.run(4 * SECOND)
    # At 6 s a cold server bears 0.3 of 60 connections.
    assert sum(crowd.held[entry.name] for entry in cold) >= 20
    assert all(crowd.most_within(entry.name, 1_500_000) <= 0.3 * 60 for entry in cold)


def sends_to_one_cold_server(balancers: int, seed: int) -> int:
    """In the window after four of five servers have sent their clients away: one warm, one cold are left.

    Each warm server holds 9 connections at a load of 0.75, so that most balancers hold one or two.
    """
    slow_start = {
        "slow_start_initial_capacity": 0.13,
        "slow_start_duration_us": WARM_AFTER,
        "slow_start_overload_factor": 2.0,
    }
    crowd = Crowd(balancers, WARM[:5], WARM_HOLDS, seed, **slow_start)
    for number in range(45):
        crowd.arrive(number * SECOND // 10)
    crowd.run(6 * SECOND)
    crowd.relist(replace(crowd.entries["w0"], name="cold", started_at_us=crowd.now))
    crowd.run(6 * SECOND)
    before = len(crowd.sends)
    drain(crowd, *WARM[:4], spread=SECOND // 5)  # sooner than reports of the load come
    crowd.run(crowd.settings.slow_start_overload_window_us)
    return sum(server == "cold" for _, server in crowd.sends[before:])


@pytest.mark.parametrize("balancers", [20, 32])
def test_a_wave_brings_a_cold_server_its_budget_and_no_more(balancers: int) -> None:
    """Each balancer tried its chance anew with every draw, until it sent the cold server one request."""
    sends = [sends_to_one_cold_server(balancers, seed) for seed in range(30)]
    budget = 2.0 * WARM_HOLDS * 7.5 * SECOND / WARM_AFTER  # of a server that started 6 to 7.5 s ago
    assert max(sends) <= budget + 2 * sqrt(budget) + 2
    assert budget / 3 <= sum(sends) / len(sends) <= budget


@pytest.mark.parametrize("seed", range(3))
def test_forty_balancers_that_found_the_fleet_full_use_the_room_that_comes(seed: int) -> None:
    """Each kept the mean load of a full fleet, refused by it, and read nothing that would have changed it."""
    crowd = Crowd(40, WARM, holds=60, seed=seed)
    crowd.stand(60)
    for number in range(150):
        crowd.arrive(number * SECOND // 30)
    crowd.run(20 * SECOND)
    for id in crowd.random.sample(sorted(crowd.where), len(crowd.where) * 5 // 6):
        crowd.end(id)
    crowd.run(LOAD_REPORT_TTL_US)
    assert len(crowd.waiting) <= 20
