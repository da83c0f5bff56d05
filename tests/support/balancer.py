"""The balancer as a process, with the clients, the server and the discovery that a test plays."""

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO, Any

from support.peer import POLL_INTERVAL_S, TIMEOUT_S, Listener, Peer

ROOT = Path(__file__).parent.parent.parent
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
# The module sends at once, asks no server for its load, and so migrates nobody.
WITHOUT_HEALTH_CHECKS: dict[str, Any] = {"familyInfo": {}, "limits": LIMITS | {"mayProbe": False}}
# The same, and an attempt may be connecting for as long as the test holds it.
SLOW_CONNECT: dict[str, Any] = {
    "familyInfo": {},
    "limits": LIMITS | {"mayProbe": False, "dialTimeoutUs": 8_000_000},
}
# A health check may be out for as long as the test holds it.
SLOW_HEALTH_CHECKS: dict[str, Any] = {
    "familyInfo": SETTINGS["familyInfo"] | {"messageAimUs": [TIMEOUT_S * 1e6]}
}


def with_class(repeat: str, scope: str = "all", window_us: int = 0) -> dict[str, Any]:
    """Return the settings of one class, to be repeated in this way; 0: without a deduplication window."""
    service_class = SETTINGS["classes"][0] | {"repeat": repeat}
    if window_us:
        service_class |= {"dedupScope": scope, "dedupWindowUs": window_us}
    return {"classes": [service_class]}


class BalancerProcess:
    """The program, its signals, its log and its counters. `path`: its configuration's file."""

    arguments: tuple[str, ...] = ()  # of the command line
    file_size = resource.RLIM_INFINITY  # bytes that the program may write to a file
    path: Path
    node: subprocess.Popen[str] | None = None

    @property
    def process(self) -> subprocess.Popen[str]:
        """The program, which has been started."""
        assert self.node, "not started"
        return self.node

    def launch(self, files: int = 1024, stderr: int | IO[bytes] = subprocess.PIPE, **variables: str) -> None:
        """Start the program on the configuration's file as it is."""
        environ = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        self.node = subprocess.Popen(
            [sys.executable, "-m", "wheatstile", *self.arguments],
            cwd=ROOT,
            env=environ | {"RELAY_CONFIG": str(self.path)} | variables,
            stderr=stderr,
            text=True,
            preexec_fn=lambda: self.limit(files),
        )

    def limit(self, files: int) -> None:
        """Limit this process, which is about to become the program."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))
        resource.setrlimit(resource.RLIMIT_FSIZE, (self.file_size, self.file_size))

    @contextmanager
    def paused(self) -> Iterator[None]:
        """Stop the program inside; all that happened meanwhile meets it at once after."""
        self.process.send_signal(signal.SIGSTOP)
        end_s = time.monotonic() + TIMEOUT_S
        status = Path(f"/proc/{self.process.pid}/stat")
        while status.read_text().rpartition(")")[2].split()[0] != "T":
            assert time.monotonic() < end_s, "the program was not stopped"
            time.sleep(POLL_INTERVAL_S)
        yield
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Tell the program to end."""
        self.process.send_signal(signal.SIGTERM)

    def wait(self) -> int:
        """Wait for the program's end; returns its exit status."""
        return self.process.wait(TIMEOUT_S)

    def stop(self) -> str:
        """End the program by SIGKILL if it still runs; returns what it wrote to its standard error."""
        if self.node is None:
            return ""
        self.node.kill()
        _, errors = self.node.communicate()
        self.node = None
        return errors

    def logged(self, *events: str) -> dict[str, Any]:
        """Return the next line of the program's log that tells one of these events."""
        assert self.process.stderr
        watchdog = threading.Timer(TIMEOUT_S, self.process.kill)  # and the log ends
        watchdog.start()
        try:
            while True:
                line = self.process.stderr.readline()
                assert line, f"the log ended without {events}"
                entry: dict[str, Any] = json.loads(line)
                if entry["event"] in events:
                    return entry
        finally:
            watchdog.cancel()

    def counters(self) -> dict[str, int]:
        """Return the program's counters."""
        self.process.send_signal(signal.SIGUSR1)
        return self.logged("counters_reported")

    def wait_for_counter(self, name: str, least: int) -> dict[str, int]:
        """Wait until this counter has this value; returns all of them."""
        end_s = time.monotonic() + TIMEOUT_S
        while (counters := self.counters()).get(name, 0) < least:
            assert time.monotonic() < end_s, f"{name}: {counters}"
        return counters


class Balancer(BalancerProcess):
    """One balancer, its configuration's file, and the ports of the server and the discovery that it knows."""

    settings: dict[str, Any] = {}  # noqa: RUF012  what differs from SETTINGS
    limits: dict[str, Any] = {}  # noqa: RUF012  what differs in the platform's limits

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.set_up()

    def set_up(self) -> None:
        """Open the ports and make the folder of its files."""
        self.server = Listener()
        self.discovery = Listener()
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name) / "config.json"

    def close(self) -> None:
        """End the program, and remove its files."""
        self.stop()
        self.folder.cleanup()

    def member(self, name: str = "s1", **changes: Any) -> dict[str, Any]:
        """Return a server as discovery lists it, at the port that the test plays."""
        member = {"id": name, "host_port": self.server.address, "locality": "here", "flavor": "m", "cell": 0}
        return member | {"phase": "ready", "size": 1.0, "up_since_ms": 0} | changes

    def config(self, members: Iterable[dict[str, Any]] | None = None) -> dict[str, Any]:
        """Return a configuration with these servers, by default one, and a free port to listen on."""
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.listen = free.getsockname()
        known = [self.member()] if members is None else list(members)
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{self.listen[1]}",
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | self.limits,
            "known": {"revision": 1, "complete": True, "members": known},
            "settings": SETTINGS | self.settings,
        }

    def write_config(self) -> None:
        """Write the configuration's file, with one server."""
        self.path.write_text(json.dumps(self.config()))

    def start(
        self,
        members: Iterable[dict[str, Any]] | None = None,
        text: str | None = None,
        files: int = 1024,
        stderr: int | IO[bytes] = subprocess.PIPE,
    ) -> None:
        """Start the program, and return once it answers PING (unless the configuration's text is given)."""
        self.path.write_text(json.dumps(self.config(members)) if text is None else text)
        self.launch(files, stderr)
        if text is None:
            self.ready()

    def ready(self) -> None:
        """Return once the program answers PING."""
        end_s = time.monotonic() + TIMEOUT_S
        while True:
            try:
                self.pinged_client().close()
            except ConnectionRefusedError:
                assert self.process.poll() is None, "the program ended"
                assert time.monotonic() < end_s, "the program never listened"
                time.sleep(0.02)
            else:
                return

    def reload(self, text: str = "", **changes: Any) -> dict[str, Any]:
        """Replace the configuration file, or keys in it, and reload; returns what the program logs."""
        self.path.write_text(text or json.dumps(json.loads(self.path.read_text()) | changes))
        self.process.send_signal(signal.SIGHUP)
        return self.logged("config_reloaded", "config_reload_rejected")

    def client(self) -> Peer:
        """Connect a client."""
        return Peer(socket.create_connection(self.listen, TIMEOUT_S))

    def pinged_client(self) -> Peer:
        """Connect a client that asks for nothing but PONG, and has got it."""
        client = self.client()
        client.send("PING")
        assert client.line() == "PONG"
        return client

    def open(
        self,
        number: int = 1,
        wait: int = 9000,
        more: str = "",
        group: str = "abc",
        client: Peer | None = None,
    ) -> Peer:
        """Have a client, a new one if none is given, send its first line."""
        client = client or self.client()
        client.send(f"OPEN {number:016x} key{number} c=web,d={wait},g={group}{more}")
        return client

    def establish(self, number: int = 1, group: str = "abc") -> tuple[Peer, Peer]:
        """Establish a session: returns the client's end and the server's."""
        client = self.open(number, group=group)
        server, _ = self.server.accept_session()
        server.send("UP r1")
        assert client.line() == "UP r1"
        return client, server

    def check_serving(self, number: int) -> dict[str, int]:
        """Check that the server's next session is this new client's, and that nothing has failed inside."""
        self.establish(number)
        counters = self.counters()
        assert "client_connections_failed" not in counters
        assert "decision_module_failures" not in counters
        return counters
