"""A balancer process for tests, with its configuration and with listeners for one server and discovery."""

import json
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from typing import IO, Any

from support.balancer_process import ROOT, BalancerProcess
from support.peer import TIMEOUT_S, Listener, Peer

__all__ = [
    "ROOT",
    "SETTINGS",
    "SLOW_CONNECT",
    "SLOW_HEALTH_CHECKS",
    "WITHOUT_HEALTH_CHECKS",
    "Balancer",
    "with_class",
]

READY_POLL_INTERVAL_S = 0.02

SETTINGS: dict[str, Any] = {
    "classes": [{"name": "web", "aimUs": 500000, "deadlineUs": 9000000, "repeat": "retryable"}],
    "discovery": "on_request",
    "familyInfo": {"messageAimUs": [60000.0], "tellsDelay": True, "tellsLoad": True},
    "fleetSize": 1,
    "limits": {
        "dialTimeoutUs": 1000000,
        "keepaliveUs": 15000000,
        "maxAttempts": 5,
        "maxRetryAfterUs": 2000000,
        "mayProbe": True,
        "retryAfter": True,
    },
    "rules": {"coldFrom": 0.2, "tipMultiple": 3.0, "warmAfterUs": 20000000},
    "telemetry": {"names": ["x0"], "via": "pull"},
    "zone": "here",
}
LIMITS: dict[str, Any] = SETTINGS["limits"]
WITHOUT_HEALTH_CHECKS: dict[str, Any] = {"familyInfo": {}, "limits": LIMITS | {"mayProbe": False}}
"""Requests are sent without health checks, and no session is migrated by exploration or rebalancing."""
SLOW_CONNECT: dict[str, Any] = {
    "familyInfo": {},
    "limits": LIMITS | {"mayProbe": False, "dialTimeoutUs": 8_000_000},
}
"""WITHOUT_HEALTH_CHECKS, with a connect timeout longer than any delay of a connect in the tests."""
SLOW_HEALTH_CHECKS: dict[str, Any] = {
    "familyInfo": SETTINGS["familyInfo"] | {"messageAimUs": [TIMEOUT_S * 1e6]}
}
"""The timeout of health checks is longer than any delay of an answer in the tests."""


def with_class(repeat: str, scope: str = "all", window_us: int = 0) -> dict[str, Any]:
    """Return settings with one class.

    Args:
        repeat: the idempotency of the class, as a keyword of the platform.
        scope: the deduplication scope, as a keyword of the platform.
        window_us: the deduplication window; 0 leaves scope and window out.
    """
    service_class = SETTINGS["classes"][0] | {"repeat": repeat}
    if window_us:
        service_class |= {"dedupScope": scope, "dedupWindowUs": window_us}
    return {"classes": [service_class]}


class Balancer(BalancerProcess):
    """A balancer that knows one server and discovery. The test acts as both.

    The constructor opens the listeners of both and creates a temporary directory. It starts no process.
    `close` ends the process and removes the directory. The listeners and connections of the test stay open.

    Attributes:
        settings: the settings that differ from SETTINGS.
        server: the listener of the server.
        discovery: the listener of discovery.
        temporary_directory: the directory that contains the configuration file.
        listen: the address that the balancer listens on, once the configuration is written.
    """

    listen: tuple[str, int]

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.server = Listener()
        self.discovery = Listener()
        self.temporary_directory = tempfile.TemporaryDirectory()
        super().__init__(Path(self.temporary_directory.name) / "config.json")

    def close(self) -> None:
        """End the process and remove the temporary directory."""
        self.stop()
        self.temporary_directory.cleanup()

    def member(self, name: str = "s1", **changes: Any) -> dict[str, Any]:
        """Return a ready server in the format of discovery, by default with the address of `server`."""
        member = {
            "id": name,
            "host_port": self.server.address,
            "locality": "here",
            "flavor": "m",
            "cell": 0,
            "phase": "ready",
            "size": 1.0,
            "up_since_ms": 0,
        }
        return member | changes

    def config(self, members: Iterable[dict[str, Any]] | None = None) -> dict[str, Any]:
        """Return a configuration with these servers, by default one, and with a free port to listen on."""
        with socket.create_server(("127.0.0.1", 0)) as unused:
            self.listen = unused.getsockname()
        known = [self.member()] if members is None else list(members)
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{self.listen[1]}",
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 1, "complete": True, "members": known},
            "settings": SETTINGS | self.settings,
        }

    def write_config(self) -> None:
        """Write the configuration file with one server."""
        self.path.write_text(json.dumps(self.config()))

    def start(
        self,
        members: Iterable[dict[str, Any]] | None = None,
        text: str | None = None,
        files: int = 1024,
        stderr: int | IO[bytes] = subprocess.PIPE,
    ) -> None:
        """Write the configuration file, start the process, and wait until it serves.

        Args:
            members: the servers that the balancer knows, by default one.
            text: the content of the configuration file, instead of the default. The method then does not
                wait, because the process may reject the file.
            files: the limit on open files.
            stderr: the destination of the log.
        """
        self.path.write_text(json.dumps(self.config(members)) if text is None else text)
        self.launch(files, stderr)
        if text is None:
            self.wait_until_ready()

    def wait_until_ready(self) -> None:
        """Wait until the process answers PING."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while True:
            try:
                self.pinged_client().close()
            except ConnectionRefusedError:
                assert self.process.poll() is None, "the process ended"
                assert time.monotonic() < deadline_s, "the process does not listen"
                time.sleep(READY_POLL_INTERVAL_S)
            else:
                return

    def reload(self, text: str = "", **changes: Any) -> dict[str, Any]:
        """Change the configuration file, send SIGHUP, and return the log entry of the result.

        Args:
            text: the new content of the file.
            changes: the top-level keys to replace if no `text` is given.
        """
        self.path.write_text(text or json.dumps(json.loads(self.path.read_text()) | changes))
        self.process.send_signal(signal.SIGHUP)
        return self.wait_for_event("config_reloaded", "config_reload_rejected")

    def client(self) -> Peer:
        """Return a new connection to the balancer."""
        return Peer(socket.create_connection(self.listen, TIMEOUT_S))

    def pinged_client(self) -> Peer:
        """Return a new connection on which the balancer has answered PING."""
        client = self.client()
        client.send("PING")
        assert client.line() == "PONG"
        return client

    def send_open(
        self,
        number: int = 1,
        timeout_ms: int = 9000,
        more_fields: str = "",
        group: str = "abc",
        client: Peer | None = None,
    ) -> Peer:
        """Send an OPEN line, and return the connection without waiting for the answer.

        Args:
            number: the number from which the request id and the idempotency key are made.
            timeout_ms: the deadline of the client, in milliseconds.
            more_fields: additional fields of the line, each after a comma.
            group: the affinity group.
            client: the connection to use, by default a new one.
        """
        client = client or self.client()
        client.send(f"OPEN {number:016x} key{number} c=web,d={timeout_ms},g={group}{more_fields}")
        return client

    def establish(self, number: int = 1, group: str = "abc") -> tuple[Peer, Peer]:
        """Establish a session at `server`, and return the connections of the client and of the server."""
        client = self.send_open(number, group=group)
        server, _ = self.server.accept_session()
        server.send("UP r1")
        assert client.line() == "UP r1"
        return client, server

    def check_serving(self, number: int) -> dict[str, int]:
        """Establish a session, check that no internal error was counted, and return the counters."""
        self.establish(number)
        counters = self.counters()
        assert "client_connections_failed" not in counters
        assert "decision_module_failures" not in counters
        return counters
