"""Tests that the same seed and the same events always result in the same actions."""

import os
import subprocess
import sys
from pathlib import Path

from support.balancer_harness import SECOND_US, BalancerHarness, endpoints

from wheatstile import Balancer
from wheatstile import interface as api

SCENARIO = """
import sys
sys.path.insert(0, 'tests')
from support.balancer_harness import BalancerHarness
harness = BalancerHarness('a', 'b', 'c', 'd', seed=5)
for i in range(100):
    harness.request(f'r{i}', key=f'k{i}')
for i in range(0, 100, 3):
    harness.establish(f'r{i}')
harness.run(30_000_000)
print(harness.actions)
"""


def run_scenario(seed: int) -> list[api.Action]:
    """Return the actions for 200 requests and the following ten seconds."""
    harness = BalancerHarness("a", "b", "c", seed=seed)
    for index in range(200):
        harness.request(f"r{index}", key=f"k{index}")
    harness.run(10 * SECOND_US)
    return harness.actions


def test_same_seed_and_events_give_the_same_actions() -> None:
    assert run_scenario(3) == run_scenario(3)
    assert run_scenario(3) != run_scenario(4)


def test_instances_share_no_state() -> None:
    first = BalancerHarness("a", "b")
    second = BalancerHarness("a", "b")
    first.update_endpoints(*endpoints("a"), kind=api.EndpointUpdateKind.FULL)
    assert isinstance(second.balancer, Balancer)
    second.loads = {"a": 0.6, "b": 0.1}
    second.request("r")
    assert second.attempted_servers[-1] == "b"


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    outputs = set()
    for hash_seed in ("0", "1", "77"):
        run = subprocess.run(
            [sys.executable, "-c", SCENARIO],
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            cwd=Path(__file__).parents[2],
            capture_output=True,
            text=True,
            check=True,
        )
        outputs.add(run.stdout)
    assert len(outputs) == 1
    assert len(outputs.pop()) > 1000
