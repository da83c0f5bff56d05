"""Replays seeded events with the decision module, and returns the text of all its actions.

The text contains no type names of the program, so that renaming a type does not change it.
tests/decisions/test_replay.py compares its digest.
"""

import hashlib
from dataclasses import replace

from support.replay_environment import ReplayEnvironment
from wheatstile import interface as api

SECOND_US = 1_000_000
STEPS_PER_INSTANCE = 6_000
SHUTDOWN_STEP = STEPS_PER_INSTANCE - 300
NO_SHUTDOWN = -1

_SAFE = api.ServiceClass("safe", 300_000, message_latency_objective_us=50_000)
_KEYED_ALL = api.ServiceClass(
    "keyed_all",
    400_000,
    api.Idempotency.IDEMPOTENCY_KEY,
    api.DeduplicationScope.ALL,
    3 * SECOND_US,
    2.0,
    80_000,
)
_KEYED_ZONE = api.ServiceClass(
    "keyed_zone", 400_000, api.Idempotency.IDEMPOTENCY_KEY, api.DeduplicationScope.ZONE, 2 * SECOND_US
)
_KEYED_CELL = replace(_KEYED_ZONE, name="keyed_cell", deduplication_scope=api.DeduplicationScope.CELL)
_UNSAFE = api.ServiceClass("unsafe", 500_000, api.Idempotency.NON_IDEMPOTENT)
CLASSES = {
    service_class.name: service_class
    for service_class in (_SAFE, _KEYED_ALL, _KEYED_ZONE, _KEYED_CELL, _UNSAFE)
}
BASE = api.Settings(
    fleet_size=4,
    zone="north",
    classes=CLASSES,
    max_attempts=3,
    slow_start_initial_capacity=0.2,
    slow_start_duration_us=12 * SECOND_US,
    slow_start_overload_factor=3.0,
    load_metrics=("load", "busy"),
    retry_after_enabled=True,
    max_retry_after_us=1_200_000,
)
# Each setting that enables something is on in at least one variant and off in another.
VARIANTS = (
    BASE,
    replace(BASE, reports_message_latency=False, cross_zone_cost=0.08, fleet_size=40),
    replace(
        BASE,
        reports_message_latency=False,
        poll_endpoints=True,
        poll_interval_us=4 * SECOND_US,
        slow_start_overload_window_us=4 * SECOND_US,
    ),
    replace(BASE, health_checks_enabled=False, retry_after_enabled=False),
    replace(BASE, load_metrics=(), max_attempts=1),
    replace(
        BASE,
        reports_message_latency=False,
        fleet_size=1,
        slow_start_overload_factor=9.0,
        slow_start_initial_capacity=0.5,
    ),
)


def replay() -> list[str]:
    """Return the actions of every variant with three seeds each, one of which includes a shutdown."""
    lines: list[str] = []
    for number, settings in enumerate(VARIANTS):
        for seed in (2 * number, 2 * number + 1, 2 * number + 100):
            shutdown_at_step = SHUTDOWN_STEP if seed % 2 else NO_SHUTDOWN
            environment = ReplayEnvironment(settings, seed, shutdown_at_step)
            lines.append(f"instance {number} seed {seed}")
            lines += environment.run(STEPS_PER_INSTANCE)
    return lines


def digest(lines: list[str]) -> str:
    """Return the SHA-256 of the lines."""
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()
