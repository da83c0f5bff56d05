"""What forty balancers do together, on a simple model of servers; the same every time from a seed."""

from dataclasses import replace

import pytest
from crowd import Crowd
from world import SECOND

from wheatstile import interface as api
from wheatstile.rules import FRESH

WARM = [f"w{number}" for number in range(6)]


def drain(crowd: Crowd, *names: str) -> None:
    """These servers send all their clients away at once."""
    crowd.relist(*(replace(crowd.entries[name], state=api.EndpointState.DRAINING) for name in names))
    for id in [id for id, (_, server) in crowd.where.items() if server in names]:
        crowd.end(id)
        crowd.arrive(crowd.random.randrange(SECOND), reconnecting=True)


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
    crowd.run(FRESH)
    assert len(crowd.waiting) <= 20
