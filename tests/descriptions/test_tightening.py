"""Tightening of the platform's class settings by descriptions."""

from typing import NamedTuple

import pytest

from wheatstile.descriptions.tightening import tighten_settings
from wheatstile.descriptions.worker_protocol import CompiledClass
from wheatstile.interface import DeduplicationScope, Idempotency, ServiceClass, Settings

KEY = Idempotency.IDEMPOTENCY_KEY
SAFE = Idempotency.IDEMPOTENT
UNSAFE = Idempotency.NON_IDEMPOTENT
ALL = DeduplicationScope.ALL
ZONE = DeduplicationScope.ZONE
CELL = DeduplicationScope.CELL
UNKNOWN = DeduplicationScope.UNKNOWN


class Policy(NamedTuple):
    """The retry policy of a class."""

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_us: int


def settings_of(policy: Policy) -> Settings:
    """Return settings with one class, `web`, that has this policy."""
    service_class = ServiceClass("web", 300_000, *policy)
    return Settings(
        fleet_size=1,
        zone="here",
        classes={"web": service_class},
        max_attempts=5,
        slow_start_initial_capacity=0.2,
        slow_start_duration_us=20_000_000,
        slow_start_overload_factor=3.0,
    )


@pytest.mark.parametrize(
    ("platform", "compiled", "expected"),
    [
        (Policy(SAFE, ALL, 0), Policy(UNSAFE, ALL, 0), Policy(UNSAFE, ALL, 0)),
        (Policy(UNSAFE, ALL, 0), Policy(SAFE, ALL, 0), Policy(UNSAFE, ALL, 0)),
        (Policy(SAFE, ALL, 0), Policy(KEY, ZONE, 60), Policy(KEY, ZONE, 60)),
        (Policy(KEY, CELL, 30), Policy(KEY, ZONE, 60), Policy(KEY, CELL, 30)),
        (Policy(KEY, ALL, 60), Policy(KEY, ZONE, 30), Policy(KEY, ZONE, 30)),
        (Policy(KEY, UNKNOWN, 60), Policy(KEY, CELL, 30), Policy(KEY, UNKNOWN, 30)),
    ],
)
def test_stricter_of_platform_settings_and_descriptions_applies(
    platform: Policy, compiled: Policy, expected: Policy
) -> None:
    tightened = tighten_settings(settings_of(platform), {"web": CompiledClass(*compiled)})
    assert tightened == settings_of(expected)


def test_compiled_class_that_is_not_in_the_settings_is_ignored() -> None:
    settings = settings_of(Policy(SAFE, ALL, 0))
    assert tighten_settings(settings, {"slow": CompiledClass(UNSAFE, ALL, 0)}) == settings
