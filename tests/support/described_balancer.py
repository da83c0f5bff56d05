"""A running balancer with descriptions, and servers in two zones that reset every attempt."""

import itertools
import json
import select
import time
from pathlib import Path

from support.balancer import Balancer
from support.peer import TIMEOUT_S, Listener, Peer
from wheatstile.resolvers.atomic_write import write_atomic

SERVERS_PER_ZONE = 12  # enough for several requests, since a server that resets is ejected for a while
CLIENT_DEADLINE_MS = 2000
HEALTHY = "PONG x0=0.3"  # answer to a health check
CLASS_SETTINGS = {"aimUs": 300000, "deadlineUs": 2000000, "repeat": "retryable"}
CLASS_NAMES = ("reads", "writes", "orders")
HEADER = "openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths:\n"
RESPONSES = "responses: {default: {description: d}}"


def operation(path: str, method: str, service_class: str, extensions: str = "") -> str:
    """Return the YAML of a path with one operation of the class."""
    return f"  /{path}: {{{method}: {{x-wheatstile-class: {service_class}, {extensions}{RESPONSES}}}}}\n"


class DescribedBalancer(Balancer):
    """A balancer whose operator's file names a directory of descriptions.

    The constructor opens a listener for the servers of each zone, and starts no process.
    """

    def __init__(self) -> None:
        super().__init__({"classes": [CLASS_SETTINGS | {"name": name} for name in CLASS_NAMES]})
        base = Path(self.temporary_directory.name)
        self.descriptions = base / "api"
        self.descriptions.mkdir()
        self.description = self.descriptions / "shop.yaml"
        self.operator_file = base / "operator.json"
        self.write_operator(paths=["api"])
        self.arguments = ("serve", "--file", str(self.operator_file))
        self.other_zone = Listener()
        self._ids = itertools.count(1)

    def close(self) -> None:
        """End the process, remove its files, and close the listener of the other zone."""
        super().close()
        self.other_zone.sock.close()

    def write_operator(self, paths: list[str]) -> None:
        """Write an operator's file that names these paths of descriptions."""
        section = {"paths": paths, "settle_s": 0.05, "recheck_s": 0.3}
        self.operator_file.write_text(json.dumps({"descriptions": section}))

    def write_description(self, paths: str) -> None:
        """Write the description with these paths, which are results of `operation`."""
        write_atomic(self.description, (HEADER + paths).encode())

    def start_with_two_zones(self) -> None:
        """Start the balancer with servers in two zones. `close` ends it."""
        elsewhere = {"locality": "there", "host_port": self.other_zone.address}
        numbers = range(SERVERS_PER_ZONE)
        self.start(
            [self.member(f"here{number}") for number in numbers]
            + [self.member(f"there{number}", **elsewhere) for number in numbers]
        )

    def start_with_referenced_file(self) -> Path:
        """Start the balancer with a description that refers to another file, and return that file."""
        self.write_operator(paths=["api/shop.yaml"])
        referenced = self.descriptions / "parts" / "p.yaml"
        referenced.parent.mkdir()
        referenced.write_text(f"get: {{x-wheatstile-class: reads, {RESPONSES}}}\n")
        self.write_description("  /s: {$ref: 'parts/p.yaml'}\n")
        self.start_with_two_zones()
        assert self.wait_for_event("descriptions_applied")["classes"] == {"reads": "safe"}
        return referenced

    def attempts(self, service_class: str) -> tuple[list[str], str]:
        """Send one request and reset each of its attempts.

        Returns the zones of the attempts in their order, and the keyword of the final answer to the client.
        """
        client = self.client()
        fields = f"c={service_class},d={CLIENT_DEADLINE_MS},g=g{next(self._ids)}"
        client.send(f"OPEN {next(self._ids):016x} key {fields}")
        zones: list[str] = []
        end_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end_s:
            listeners = {listener.sock: listener for listener in (self.server, self.other_zone)}
            checks = {
                check.sock: (listener, check)
                for listener in listeners.values()
                for check in listener.health_checks
            }
            ready, _, _ = select.select([client.sock, *listeners, *checks], [], [], TIMEOUT_S)
            for sock in ready:
                if sock is client.sock:
                    return zones, client.line().partition(" ")[0]
                if sock in checks:
                    answer_health_check(*checks[sock])
                elif reset_attempt(listeners[sock]):
                    zones.append("here" if sock is self.server.sock else "there")
        raise AssertionError("no final answer was received")


def answer_health_check(listener: Listener, peer: Peer) -> None:
    """Answer a health check on an open connection, or close the connection if the balancer has ended it."""
    if peer.line():
        peer.send(HEALTHY)
    else:
        listener.health_checks.remove(peer)
        peer.close()


def reset_attempt(listener: Listener) -> bool:
    """Accept a connection. If it is an attempt, reset it and return True.

    A health check is answered, and its connection is added to the open ones of the listener.
    """
    peer = listener.accept()
    if peer.line() == "STATS":
        peer.send(HEALTHY)
        listener.health_checks.append(peer)
        return False
    peer.close(reset=True)
    return True
