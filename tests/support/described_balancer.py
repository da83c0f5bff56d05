"""A running balancer with descriptions, and servers in two zones that reset every attempt."""

import itertools
import json
import select
import time
from pathlib import Path

from support.balancer import Balancer
from support.peer import TIMEOUT_S, Listener, Peer
from wheatstile.resolvers.atomic_write import write_atomic

SERVERS_PER_ZONE = 12  # a server that resets is not tried again for a while
CLIENT_DEADLINE_MS = 2000
HEALTHY = "PONG x0=0.3"  # the answer to a health check
CLASS = {"aimUs": 300000, "deadlineUs": 2000000, "repeat": "retryable"}
CLASS_NAMES = ("reads", "writes", "orders")
HEADER = "openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths:\n"
RESPONSES = "responses: {default: {description: d}}"


def operation(path: str, method: str, name: str, more: str = "") -> str:
    """Return a path of a description with one operation of the class."""
    return f"  /{path}: {{{method}: {{x-wheatstile-class: {name}, {more}{RESPONSES}}}}}\n"


class DescribedBalancer(Balancer):
    """A balancer whose operator's file names the descriptions in a folder; it is not started yet."""

    def __init__(self) -> None:
        super().__init__({"classes": [CLASS | {"name": name} for name in CLASS_NAMES]})
        base = Path(self.folder.name)
        self.descriptions = base / "api"
        self.descriptions.mkdir()
        self.description = self.descriptions / "shop.yaml"
        self.operator = base / "operator.json"
        self.write_operator(paths=["api"])
        self.arguments = ("serve", "--file", str(self.operator))
        self.other_zone = Listener()
        self._ids = itertools.count(1)

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

    def attempts(self, service_class: str) -> tuple[list[str], str]:
        """Open one connection; return the zones that it was tried in and the client's final answer."""
        client = self.client()
        fields = f"c={service_class},d={CLIENT_DEADLINE_MS},g=g{next(self._ids)}"
        client.send(f"OPEN {next(self._ids):016x} key {fields}")
        zones: list[str] = []
        end_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end_s:
            listeners = {listener.sock: listener for listener in (self.server, self.other_zone)}
            checks = {
                check.sock: (listener, check) for listener in listeners.values() for check in listener.probes
            }
            ready, _, _ = select.select([client.sock, *listeners, *checks], [], [], TIMEOUT_S)
            for sock in ready:
                if sock is client.sock:
                    return zones, client.line().partition(" ")[0]
                if sock in checks:
                    answer_health_check(*checks[sock])
                elif reset_attempt(listeners[sock]):
                    zones.append("here" if sock is self.server.sock else "there")
        raise AssertionError("no final answer came")


def answer_health_check(listener: Listener, peer: Peer) -> None:
    """Answer a health check on an open connection, or forget the connection if it has ended."""
    if peer.line():
        peer.send(HEALTHY)
    else:
        listener.probes.remove(peer)
        peer.close()


def reset_attempt(listener: Listener) -> bool:
    """Accept a connection and reset it if it is an attempt; a health check is answered, and its peer kept."""
    peer = listener.accept()
    if peer.line() == "STATS":
        peer.send(HEALTHY)
        listener.probes.append(peer)
        return False
    peer.close(reset=True)
    return True
