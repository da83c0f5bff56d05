"""Descriptions in a running balancer: retries after a connection reset, and changes of the files."""

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

MAX_ANSWER_TIME_S = 1.5  # well below the client's deadline
POLL_INTERVAL_S = 0.02
KEYED = "x-wheatstile-repeat: keyed, x-wheatstile-window-s: 60, x-wheatstile-scope: zone, "
THREE_OPERATIONS = (
    operation("s", "get", "reads")
    + operation("u", "post", "writes")
    + operation("k", "post", "orders", KEYED)
)
OPERATION_OF_UNKNOWN_CLASS = operation("r", "get", "nobody")


@pytest.fixture
def balancer() -> Iterator[DescribedBalancer]:
    """Provide a balancer with descriptions that is not started yet. It is closed after the test."""
    balancer = DescribedBalancer()
    try:
        yield balancer
    finally:
        balancer.close()


@pytest.fixture
def started(balancer: DescribedBalancer) -> DescribedBalancer:
    """Return a balancer that was started with a description of one operation, of the class `reads`."""
    balancer.write_description(operation("s", "get", "reads"))
    balancer.start_with_two_zones()
    balancer.wait_for_event("descriptions_applied")
    return balancer


@pytest.fixture
def changed(started: DescribedBalancer) -> DescribedBalancer:
    """Return a balancer whose description was changed to THREE_OPERATIONS after the start."""
    started.write_description(THREE_OPERATIONS)
    started.wait_for_event("descriptions_applied")
    return started


def check_retries_of_every_class(balancer: DescribedBalancer) -> None:
    """Check that `reads` is retried, `writes` is not retried, and `orders` is retried in one zone only."""
    check_idempotent_class_is_retried(balancer)
    check_non_idempotent_class_is_not_retried(balancer)
    check_keyed_class_is_retried_in_one_zone(balancer)


def check_idempotent_class_is_retried(balancer: DescribedBalancer) -> None:
    """Check that a request of the class `reads` has several attempts before it is rejected."""
    zones, answer = balancer.attempts("reads")
    assert len(zones) > 1
    assert answer == "BUSY"


def check_non_idempotent_class_is_not_retried(balancer: DescribedBalancer) -> None:
    """Check that a request of the class `writes` has one attempt and is answered long before its deadline."""
    start_s = time.monotonic()
    zones, answer = balancer.attempts("writes")
    assert (len(zones), answer) == (1, "ERR")
    assert time.monotonic() - start_s < MAX_ANSWER_TIME_S


def check_keyed_class_is_retried_in_one_zone(balancer: DescribedBalancer) -> None:
    """Check that all attempts of a request of the class `orders` go to one zone."""
    for _ in range(3):
        zones, answer = balancer.attempts("orders")
        assert (len(set(zones)), answer) == (1, "ERR"), zones


def test_each_class_is_retried_according_to_its_descriptions(balancer: DescribedBalancer) -> None:
    balancer.write_description(THREE_OPERATIONS)
    balancer.start_with_two_zones()
    classes = balancer.wait_for_event("descriptions_applied")["classes"]
    assert classes == {"orders": "keyed", "reads": "safe", "writes": "unsafe"}
    check_retries_of_every_class(balancer)


def test_class_without_described_operations_has_the_platform_settings(started: DescribedBalancer) -> None:
    zones, _ = started.attempts("writes")
    assert len(zones) > 1


def test_changed_descriptions_are_applied(changed: DescribedBalancer) -> None:
    check_retries_of_every_class(changed)


def test_rejected_descriptions_do_not_replace_the_current_ones(changed: DescribedBalancer) -> None:
    changed.write_description(THREE_OPERATIONS + OPERATION_OF_UNKNOWN_CLASS)
    reasons = changed.wait_for_event("descriptions_rejected")["reasons"]
    assert 'the class "nobody" is not in the settings' in reasons[0]
    check_retries_of_every_class(changed)


def test_descriptions_still_apply_after_a_reload_of_the_platform_settings(changed: DescribedBalancer) -> None:
    changed.write_description(THREE_OPERATIONS + OPERATION_OF_UNKNOWN_CLASS)
    changed.wait_for_event("descriptions_rejected")
    changed.process.send_signal(signal.SIGHUP)
    changed.wait_for_event("config_reloaded")
    check_retries_of_every_class(changed)


def test_descriptions_removed_from_the_operator_file_are_not_applied(changed: DescribedBalancer) -> None:
    changed.operator_file.write_text("{}")
    changed.process.send_signal(signal.SIGHUP)
    changed.wait_for_event("descriptions_disabled")
    zones, _ = changed.attempts("writes")
    assert len(zones) > 1


def test_change_in_a_referenced_file_is_applied(balancer: DescribedBalancer) -> None:
    referenced = balancer.start_with_referenced_file()
    write_atomic(referenced, f"post: {{x-wheatstile-class: reads, {RESPONSES}}}\n".encode())
    assert balancer.wait_for_event("descriptions_applied")["classes"] == {"reads": "unsafe"}


def test_removal_of_a_referenced_file_is_rejected(balancer: DescribedBalancer) -> None:
    referenced = balancer.start_with_referenced_file()
    referenced.unlink()
    reasons = balancer.wait_for_event("descriptions_rejected")["reasons"]
    assert "No such file" in reasons[0]


def test_invalid_descriptions_at_startup_end_the_process(balancer: DescribedBalancer) -> None:
    balancer.write_description(operation("u", "post", "wrong"))
    balancer.write_config()
    balancer.launch()
    assert balancer.wait() == 1
    assert 'the class "wrong" is not in the settings' in balancer.stop()


def test_changed_descriptions_are_applied_to_the_latest_platform_settings(
    balancer: DescribedBalancer,
) -> None:
    balancer.write_description(operation("s", "get", "reads"))
    balancer.write_config()
    asyncio.run(check_that_a_change_preserves_other_settings(balancer))


async def check_that_a_change_preserves_other_settings(balancer: DescribedBalancer) -> None:
    """Change a platform setting that is not part of the request to the worker, then the description."""
    operator = operator_file.read(str(balancer.operator_file))
    config = Config.read({"RELAY_CONFIG": str(balancer.path)})
    decision_loop = DecisionLoop(config.settings, config.seed)
    section = DescriptionsSection(decision_loop, None)
    section.apply_operator_file(operator, config)
    await wait_until(lambda: "reads" in section.compiled_classes)

    fleet_size = config.settings.fleet_size + 1
    changed = replace(config, settings=replace(config.settings, fleet_size=fleet_size))
    decision_loop.configure(section.tightened_settings(changed.settings))
    section.apply_operator_file(operator, changed)

    balancer.write_description(operation("s", "post", "reads"))
    await wait_until(lambda: section.compiled_classes["reads"].idempotency is Idempotency.NON_IDEMPOTENT)
    section.close()
    assert decision_loop.balancer.settings.fleet_size == fleet_size
    assert decision_loop.balancer.settings.classes["reads"].idempotency is Idempotency.NON_IDEMPOTENT


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds. Raises TimeoutError."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)
