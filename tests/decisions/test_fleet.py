"""What forty balancers do together, on a simple model of servers; the same every time from a seed."""

from dataclasses import replace
from math import sqrt

import pytest
from support.balancer_harness import SECOND_US
from support.fleet_model import FleetModel

from wheatstile import interface as api
from wheatstile.decisions.fleet_load import LOAD_REPORT_TTL_US

WARM = [f"w{number}" for number in range(6)]
WARM_HOLDS, WARM_AFTER = 12, 23 * SECOND_US


def drain(fleet: FleetModel, *names: str, spread: int = SECOND_US) -> None:
    """These servers send all their clients away at once, who come again within the spread (microseconds)."""
    fleet.relist(*(replace(fleet.entries[name], state=api.EndpointState.DRAINING) for name in names))
    for id in [id for id, (_, server) in fleet.where.items() if server in names]:
        fleet.end(id)
        fleet.arrive(fleet.random.randrange(spread), reconnecting=True)


@pytest.mark.parametrize("seed", range(3))
def test_cold_servers_take_their_part_and_no_more_from_forty_balancers(seed: int) -> None:
    """With budgets guessed from each balancer's few arrivals, cold servers stood empty beside full ones."""
    fleet = FleetModel(40, WARM, holds=60, seed=seed)
    fleet.stand(27)
    fleet.run(5 * SECOND_US)
    cold = [replace(fleet.entries["w0"], name=f"k{number}", started_at_us=fleet.now) for number in range(3)]
    fleet.relist(*cold)
    fleet.run(2 * SECOND_US)
    drain(fleet, *WARM[:3])  # half the fleet, into which the cold ones come
    fleet.run(4 * SECOND_US)
    # At 6 s a cold server bears 0.3 of 60 connections.
    assert sum(fleet.held[entry.name] for entry in cold) >= 20
    assert all(fleet.most_within(entry.name, 1_500_000) <= 0.3 * 60 for entry in cold)


def sends_to_one_cold_server(balancers: int, seed: int) -> int:
    """In the window after four of five servers have sent their clients away: one warm, one cold are left.

    Each warm server holds 9 connections at a load of 0.75, so that most balancers hold one or two.
    """
    slow_start = {
        "slow_start_initial_capacity": 0.13,
        "slow_start_duration_us": WARM_AFTER,
        "slow_start_overload_factor": 2.0,
    }
    fleet = FleetModel(balancers, WARM[:5], WARM_HOLDS, seed, **slow_start)
    for number in range(45):
        fleet.arrive(number * SECOND_US // 10)
    fleet.run(6 * SECOND_US)
    fleet.relist(replace(fleet.entries["w0"], name="cold", started_at_us=fleet.now))
    fleet.run(6 * SECOND_US)
    before = len(fleet.sends)
    drain(fleet, *WARM[:4], spread=SECOND_US // 5)  # sooner than reports of the load come
    fleet.run(fleet.settings.slow_start_overload_window_us)
    return sum(server == "cold" for _, server in fleet.sends[before:])


@pytest.mark.parametrize("balancers", [20, 32])
def test_a_wave_brings_a_cold_server_its_budget_and_no_more(balancers: int) -> None:
    """Each balancer tried its chance anew with every draw, until it sent the cold server one request."""
    sends = [sends_to_one_cold_server(balancers, seed) for seed in range(30)]
    budget = 2.0 * WARM_HOLDS * 7.5 * SECOND_US / WARM_AFTER  # of a server that started 6 to 7.5 s ago
    assert max(sends) <= budget + 2 * sqrt(budget) + 2
    assert budget / 3 <= sum(sends) / len(sends) <= budget


@pytest.mark.parametrize("seed", range(3))
def test_forty_balancers_that_found_the_fleet_full_use_the_room_that_comes(seed: int) -> None:
    """Each kept the mean load of a full fleet, refused by it, and read nothing that would have changed it."""
    fleet = FleetModel(40, WARM, holds=60, seed=seed)
    fleet.stand(60)
    for number in range(150):
        fleet.arrive(number * SECOND_US // 30)
    fleet.run(20 * SECOND_US)
    for id in fleet.random.sample(sorted(fleet.where), len(fleet.where) * 5 // 6):
        fleet.end(id)
    fleet.run(LOAD_REPORT_TTL_US)
    assert len(fleet.waiting) <= 20
