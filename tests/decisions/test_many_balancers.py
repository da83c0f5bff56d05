"""Tests of many balancers on a simple model of servers. Each run gives the same result."""

from dataclasses import replace
from math import sqrt

import pytest
from support.balancer_harness import SECOND_US
from support.fleet_model import FleetModel

from wheatstile import interface as api
from wheatstile.decisions.fleet_load import LOAD_REPORT_TTL_US

SERVERS = [f"w{number}" for number in range(6)]
STARTING = "starting"
SMALL_CAPACITY = 12  # connections
SLOW_START_DURATION_US = 23 * SECOND_US
OVERLOAD_FACTOR = 2.0


def drain(fleet: FleetModel, *names: str, spread_us: int = SECOND_US) -> None:
    """Drain these servers; all their clients disconnect now, and reconnect within `spread_us`."""
    draining = [replace(fleet.endpoints[name], state=api.EndpointState.DRAINING) for name in names]
    fleet.update_endpoints(*draining)
    for id in [id for id, connection in fleet.connections.items() if connection.server in names]:
        fleet.end_connection(id)
        fleet.schedule_request(fleet.random.randrange(spread_us), reconnecting=True)


@pytest.mark.parametrize("seed", range(3))
def test_forty_balancers_use_and_do_not_exceed_the_capacity_of_starting_servers(seed: int) -> None:
    fleet = FleetModel(40, SERVERS, capacity=60, seed=seed)
    fleet.connect_at_each_server(27)
    fleet.run(5 * SECOND_US)
    template = fleet.endpoints["w0"]
    starting = [replace(template, name=f"k{number}", started_at_us=fleet.now_us) for number in range(3)]
    fleet.update_endpoints(*starting)
    fleet.run(2 * SECOND_US)
    drain(fleet, *SERVERS[:3])
    fleet.run(4 * SECOND_US)
    # 6 s after its start, a server has 0.3 of its capacity of 60 connections.
    assert sum(fleet.connection_counts[endpoint.name] for endpoint in starting) >= 20
    assert all(fleet.max_attempts_within(endpoint.name, 1_500_000) <= 0.3 * 60 for endpoint in starting)


def attempts_at_a_starting_server(balancers: int, seed: int) -> int:
    """Return the attempts in one window after four of five servers drain.

    One full server and the starting one remain. Each server has 9 connections at a load of 0.75, so that most
    balancers have one or two.
    """
    fleet = FleetModel(
        balancers,
        SERVERS[:5],
        SMALL_CAPACITY,
        seed,
        slow_start_initial_capacity=0.13,
        slow_start_duration_us=SLOW_START_DURATION_US,
        slow_start_overload_factor=OVERLOAD_FACTOR,
    )
    for number in range(45):
        fleet.schedule_request(number * SECOND_US // 10)
    fleet.run(6 * SECOND_US)
    fleet.update_endpoints(replace(fleet.endpoints["w0"], name=STARTING, started_at_us=fleet.now_us))
    fleet.run(6 * SECOND_US)
    previous_count = len(fleet.attempts)
    drain(fleet, *SERVERS[:4], spread_us=SECOND_US // 5)  # shorter than the delay of load reports
    fleet.run(fleet.settings.slow_start_overload_window_us)
    return sum(attempt.server == STARTING for attempt in fleet.attempts[previous_count:])


@pytest.mark.parametrize("balancers", [20, 32])
def test_reconnect_burst_uses_and_does_not_exceed_the_budget_of_a_starting_server(balancers: int) -> None:
    attempts = [attempts_at_a_starting_server(balancers, seed) for seed in range(30)]
    age_at_window_end_us = 7.5 * SECOND_US
    budget = OVERLOAD_FACTOR * SMALL_CAPACITY * age_at_window_end_us / SLOW_START_DURATION_US
    assert max(attempts) <= budget + 2 * sqrt(budget) + 2
    assert budget / 3 <= sum(attempts) / len(attempts) <= budget


@pytest.mark.parametrize("seed", range(3))
def test_balancers_of_a_full_fleet_soon_use_the_capacity_that_becomes_free(seed: int) -> None:
    fleet = FleetModel(40, SERVERS, capacity=60, seed=seed)
    fleet.connect_at_each_server(60)
    for number in range(150):
        fleet.schedule_request(number * SECOND_US // 30)
    fleet.run(20 * SECOND_US)
    for id in fleet.random.sample(sorted(fleet.connections), len(fleet.connections) * 5 // 6):
        fleet.end_connection(id)
    fleet.run(LOAD_REPORT_TTL_US)
    assert len(fleet.waiting) <= 20
