"""Descriptions in a running balancer, over real sockets, with servers that reset every attempt."""

import asyncio
import itertools
import json
import select
import signal
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from peers import PATIENCE, Listener, NodeTest, Peer

from wheatstile.config import operator as operator_file
from wheatstile.config.platform import Config
from wheatstile.descriptions.section import DescriptionsSection
from wheatstile.interface import Idempotency
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.resolvers.atomic_write import write_atomic

SERVERS_PER_ZONE = 12  # a server that resets is not tried again for a while
CLIENT_DEADLINE_MS = 2000
IMMEDIATE_S = 1.5  # well below the deadline
HEALTHY = "PONG x0=0.3"  # the answer to a health check
CLASS = {"aimUs": 300000, "deadlineUs": 2000000, "repeat": "retryable"}
HEADER = "openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths:\n"
RESPONSES = "responses: {default: {description: d}}"
KEYED = "x-wheatstile-repeat: keyed, x-wheatstile-window-s: 60, x-wheatstile-scope: zone, "


def operation(path: str, method: str, name: str, more: str = "") -> str:
    """A path of a description with one operation of the class."""
    return f"  /{path}: {{{method}: {{x-wheatstile-class: {name}, {more}{RESPONSES}}}}}\n"


THREE_OPERATIONS = (
    operation("s", "get", "reads")
    + operation("u", "post", "writes")
    + operation("k", "post", "orders", KEYED)
)


class TestDescriptionsSection(NodeTest):
    """Each test starts a balancer on an operator's file that names descriptions."""

    settings = {"classes": [CLASS | {"name": name} for name in ("reads", "writes", "orders")]}  # noqa: RUF012

    def setUp(self) -> None:
        """Write the operator's file; the description is written by each test."""
        super().setUp()
        self.base = Path(self.folder.name)
        self.descriptions = self.base / "api"
        self.descriptions.mkdir()
        self.description = self.descriptions / "shop.yaml"
        self.operator = self.base / "operator.json"
        self.write_operator(paths=["api"])
        self.arguments = ("serve", "--file", str(self.operator))
        self.other_zone = Listener()
        self.ids = itertools.count(1)

    def write_operator(self, paths: list[str]) -> None:
        """Write an operator's file that names these descriptions."""
        section = {"paths": paths, "settle_s": 0.05, "recheck_s": 0.3}
        self.operator.write_text(json.dumps({"descriptions": section}))

    def describe(self, paths: str) -> None:
        """Write the description with these paths."""
        write_atomic(self.description, (HEADER + paths).encode())

    def begin(self) -> None:
        """Start the balancer with servers in two zones."""
        elsewhere = {"locality": "there", "host_port": self.other_zone.address}
        numbers = range(SERVERS_PER_ZONE)
        self.start(
            [self.member(f"here{number}") for number in numbers]
            + [self.member(f"there{number}", **elsewhere) for number in numbers]
        )

    def attempts(self, service_class: str) -> tuple[list[str], str]:
        """Open one connection; return the zones that it was tried in and the client's final answer."""
        client = self.client()
        fields = f"c={service_class},d={CLIENT_DEADLINE_MS},g=g{next(self.ids)}"
        client.send(f"OPEN {next(self.ids):016x} key {fields}")
        zones: list[str] = []
        end = time.monotonic() + PATIENCE
        while time.monotonic() < end:
            listeners = {listener.sock: listener for listener in (self.server, self.other_zone)}
            checks = {
                check.sock: (listener, check) for listener in listeners.values() for check in listener.probes
            }
            ready, _, _ = select.select([client.sock, *listeners, *checks], [], [], PATIENCE)
            for sock in ready:
                if sock is client.sock:
                    return zones, client.line().partition(" ")[0]
                if sock in checks:
                    answer_health_check(*checks[sock])
                elif is_reset(listeners[sock]):
                    zones.append("here" if sock is self.server.sock else "there")
        raise AssertionError("no final answer came")

    def check_retries_of_every_class(self) -> None:
        """Check that safe is retried, unsafe rejected after one attempt, keyed retried in its zone."""
        zones, answer = self.attempts("reads")
        assert len(zones) > 1
        assert answer == "BUSY"
        begin = time.monotonic()
        zones, answer = self.attempts("writes")
        assert (len(zones), answer) == (1, "ERR")
        assert time.monotonic() - begin < IMMEDIATE_S
        for _ in range(3):
            zones, answer = self.attempts("orders")
            assert (len(set(zones)), answer) == (1, "ERR"), zones

    def test_each_class_is_retried_as_its_descriptions_allow(self) -> None:
        self.describe(THREE_OPERATIONS)
        self.begin()
        classes = self.logged("descriptions_applied")["classes"]
        assert classes == {"orders": "keyed", "reads": "safe", "writes": "unsafe"}
        self.check_retries_of_every_class()

    def test_changed_descriptions_are_applied_completely_or_not_at_all(self) -> None:
        self.describe(operation("s", "get", "reads"))
        self.begin()
        self.logged("descriptions_applied")
        assert len(self.attempts("writes")[0]) > 1  # nothing is declared of it yet
        self.describe(THREE_OPERATIONS)
        self.logged("descriptions_applied")
        self.check_retries_of_every_class()
        self.describe(THREE_OPERATIONS + operation("r", "get", "nobody"))
        reasons = self.logged("descriptions_rejected")["reasons"]
        assert 'the class "nobody" is not in the settings' in reasons[0]
        self.check_retries_of_every_class()
        assert self.node
        self.node.send_signal(signal.SIGHUP)  # the platform's settings are read again, and tightened again
        self.logged("config_reloaded")
        self.check_retries_of_every_class()
        self.operator.write_text("{}")
        self.node.send_signal(signal.SIGHUP)
        self.logged("descriptions_disabled")
        assert len(self.attempts("writes")[0]) > 1

    def test_change_in_a_referenced_file_is_applied(self) -> None:
        part = self.begin_with_part()
        write_atomic(part, f"post: {{x-wheatstile-class: reads, {RESPONSES}}}\n".encode())
        assert self.logged("descriptions_applied")["classes"] == {"reads": "unsafe"}

    def test_removal_of_a_referenced_file_is_rejected(self) -> None:
        part = self.begin_with_part()
        part.unlink()
        reasons = self.logged("descriptions_rejected")["reasons"]
        assert "No such file" in reasons[0]

    def begin_with_part(self) -> Path:
        """Start on a description that refers to another file; return that file."""
        self.write_operator(paths=["api/shop.yaml"])
        part = self.descriptions / "parts" / "p.yaml"
        part.parent.mkdir()
        part.write_text(f"get: {{x-wheatstile-class: reads, {RESPONSES}}}\n")
        self.describe("  /s: {$ref: 'parts/p.yaml'}\n")
        self.begin()
        assert self.logged("descriptions_applied")["classes"] == {"reads": "safe"}
        return part

    def test_change_keeps_the_platform_settings_that_were_read_last(self) -> None:
        self.describe(operation("s", "get", "reads"))
        self.path.write_text(json.dumps(self.config()))
        asyncio.run(self.follow_changes())

    async def follow_changes(self) -> None:
        """Change a platform setting that the worker does not need, then the description."""
        operator = operator_file.read(str(self.operator))
        config = Config.read({"RELAY_CONFIG": str(self.path)})
        decisions = DecisionLoop(config.settings, config.seed)
        section = DescriptionsSection(decisions, None)
        section.follow(operator, config)
        await wait_until(lambda: "reads" in section.learned)

        fleet_size = config.settings.fleet_size + 1
        changed = replace(config, settings=replace(config.settings, fleet_size=fleet_size))
        decisions.configure(section.applied(changed.settings))
        section.follow(operator, changed)

        self.describe(operation("s", "post", "reads"))
        await wait_until(lambda: section.learned["reads"].idempotency is Idempotency.NON_IDEMPOTENT)
        section.close()
        assert decisions.balancer.settings.fleet_size == fleet_size
        assert decisions.balancer.settings.classes["reads"].idempotency is Idempotency.NON_IDEMPOTENT

    def test_invalid_descriptions_at_the_start_end_the_process(self) -> None:
        self.describe(operation("u", "post", "wrong"))
        self.path.write_text(json.dumps(self.config()))
        self.launch()
        assert self.node
        assert self.node.wait(PATIENCE) == 1
        assert 'the class "wrong" is not in the settings' in self.stop()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds. Raises TimeoutError."""
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0.02)


def answer_health_check(listener: Listener, peer: Peer) -> None:
    """Answer a health check on an open connection, or forget the connection if it has ended."""
    if peer.line():
        peer.send(HEALTHY)
    else:
        listener.probes.remove(peer)
        peer.close()


def is_reset(listener: Listener) -> bool:
    """Accept a connection and reset it if it is an attempt; a health check is answered and kept."""
    peer = listener.accept()
    if peer.line() == "STATS":
        peer.send(HEALTHY)
        listener.probes.append(peer)
        return False
    peer.close(reset=True)
    return True
