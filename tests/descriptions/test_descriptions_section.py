"""Descriptions in a running balancer: which attempts follow a reset, and changes of the files."""

import asyncio
import signal
import time
from collections.abc import Callable, Iterator
from dataclasses import replace

import pytest
from support.described_balancer import RESPONSES, DescribedBalancer, operation
from support.peer import TIMEOUT_S

from wheatstile.config import operator as operator_file
from wheatstile.config.platform import Config
from wheatstile.descriptions.section import DescriptionsSection
from wheatstile.interface import Idempotency
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.resolvers.atomic_write import write_atomic

IMMEDIATE_S = 1.5  # well below the client's deadline
KEYED = "x-wheatstile-repeat: keyed, x-wheatstile-window-s: 60, x-wheatstile-scope: zone, "
THREE_OPERATIONS = (
    operation("s", "get", "reads")
    + operation("u", "post", "writes")
    + operation("k", "post", "orders", KEYED)
)


@pytest.fixture
def balancer() -> Iterator[DescribedBalancer]:
    """A balancer with descriptions, not started yet; it is ended with the test."""
    balancer = DescribedBalancer()
    try:
        yield balancer
    finally:
        balancer.close()


def check_retries_of_every_class(balancer: DescribedBalancer) -> None:
    """Check that safe is retried, unsafe rejected after one attempt, keyed retried in its zone."""
    zones, answer = balancer.attempts("reads")
    assert len(zones) > 1
    assert answer == "BUSY"
    begin_s = time.monotonic()
    zones, answer = balancer.attempts("writes")
    assert (len(zones), answer) == (1, "ERR")
    assert time.monotonic() - begin_s < IMMEDIATE_S
    for _ in range(3):
        zones, answer = balancer.attempts("orders")
        assert (len(set(zones)), answer) == (1, "ERR"), zones


def test_each_class_is_retried_as_its_descriptions_allow(balancer: DescribedBalancer) -> None:
    balancer.describe(THREE_OPERATIONS)
    balancer.begin()
    classes = balancer.logged("descriptions_applied")["classes"]
    assert classes == {"orders": "keyed", "reads": "safe", "writes": "unsafe"}
    check_retries_of_every_class(balancer)


def test_changed_descriptions_are_applied_completely_or_not_at_all(balancer: DescribedBalancer) -> None:
    balancer.describe(operation("s", "get", "reads"))
    balancer.begin()
    balancer.logged("descriptions_applied")
    assert len(balancer.attempts("writes")[0]) > 1  # nothing is declared of it yet
    balancer.describe(THREE_OPERATIONS)
    balancer.logged("descriptions_applied")
    check_retries_of_every_class(balancer)
    balancer.describe(THREE_OPERATIONS + operation("r", "get", "nobody"))
    reasons = balancer.logged("descriptions_rejected")["reasons"]
    assert 'the class "nobody" is not in the settings' in reasons[0]
    check_retries_of_every_class(balancer)
    balancer.process.send_signal(signal.SIGHUP)  # the platform's settings are read and tightened again
    balancer.logged("config_reloaded")
    check_retries_of_every_class(balancer)
    balancer.operator.write_text("{}")
    balancer.process.send_signal(signal.SIGHUP)
    balancer.logged("descriptions_disabled")
    assert len(balancer.attempts("writes")[0]) > 1


def test_change_in_a_referenced_file_is_applied(balancer: DescribedBalancer) -> None:
    part = balancer.begin_with_part()
    write_atomic(part, f"post: {{x-wheatstile-class: reads, {RESPONSES}}}\n".encode())
    assert balancer.logged("descriptions_applied")["classes"] == {"reads": "unsafe"}


def test_removal_of_a_referenced_file_is_rejected(balancer: DescribedBalancer) -> None:
    part = balancer.begin_with_part()
    part.unlink()
    reasons = balancer.logged("descriptions_rejected")["reasons"]
    assert "No such file" in reasons[0]


def test_invalid_descriptions_at_the_start_end_the_process(balancer: DescribedBalancer) -> None:
    balancer.describe(operation("u", "post", "wrong"))
    balancer.write_config()
    balancer.launch()
    assert balancer.wait() == 1
    assert 'the class "wrong" is not in the settings' in balancer.stop()


def test_change_keeps_the_platform_settings_that_were_read_last(balancer: DescribedBalancer) -> None:
    balancer.describe(operation("s", "get", "reads"))
    balancer.write_config()
    asyncio.run(follow_changes(balancer))


async def follow_changes(balancer: DescribedBalancer) -> None:
    """Change a platform setting that the worker does not need, then the description."""
    operator = operator_file.read(str(balancer.operator))
    config = Config.read({"RELAY_CONFIG": str(balancer.path)})
    decisions = DecisionLoop(config.settings, config.seed)
    section = DescriptionsSection(decisions, None)
    section.follow(operator, config)
    await wait_until(lambda: "reads" in section.learned)

    fleet_size = config.settings.fleet_size + 1
    changed = replace(config, settings=replace(config.settings, fleet_size=fleet_size))
    decisions.configure(section.applied(changed.settings))
    section.follow(operator, changed)

    balancer.describe(operation("s", "post", "reads"))
    await wait_until(lambda: section.learned["reads"].idempotency is Idempotency.NON_IDEMPOTENT)
    section.close()
    assert decisions.balancer.settings.fleet_size == fleet_size
    assert decisions.balancer.settings.classes["reads"].idempotency is Idempotency.NON_IDEMPOTENT


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds. Raises TimeoutError."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.02)
