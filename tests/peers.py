"""The program as a process, and peers to talk to it: clients, servers and discovery, on loopback only."""

import json
import os
import resource
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections.abc import Iterable
from pathlib import Path
from typing import IO, Any

ROOT = Path(__file__).parent.parent
PATIENCE = 20.0  # seconds within which whatever has to happen must have happened
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


class Peer:
    """One end of a connection, read by whole lines."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(PATIENCE)
        self.rest = b""

    def send(self, *lines: str) -> None:
        self.sock.sendall("".join(line + "\r\n" for line in lines).encode())

    def line(self) -> str:
        """The next line; empty at the end of the connection."""
        while b"\r\n" not in self.rest:
            data = self.sock.recv(4096)
            if not data:
                return ""
            self.rest += data
        line, _, self.rest = self.rest.partition(b"\r\n")
        return line.decode()

    def chunk(self, revision: int, *members: dict[str, Any], complete: bool = False) -> None:
        """One list on a watch."""
        body = json.dumps({"revision": revision, "complete": complete, "members": members}) + "\n"
        self.send(f"{len(body):x}", body)

    def begin_watch(self) -> None:
        self.send("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "")

    def close(self, reset: bool = False) -> None:
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()


class Listener:
    """A port that peers connect to: a server's or discovery's."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.settimeout(PATIENCE)
        self.probes: list[Peer] = []
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

    def accept(self) -> Peer:
        return Peer(self.sock.accept()[0])

    def watch(self) -> tuple[Peer, str]:
        """The next call to discovery, and its first line."""
        peer = self.accept()
        ask = peer.line()
        while peer.line():
            pass
        return peer, ask

    def rpc(self, load: float = 0.3) -> tuple[Peer, str]:
        """The next connection that is no probe's, and its first line; probes met on the way are answered."""
        while True:
            ready = select.select([self.sock, *(probe.sock for probe in self.probes)], [], [], PATIENCE)[0]
            assert ready, "no attempt came"
            for probe in [probe for probe in self.probes if probe.sock in ready]:
                if not probe.line():
                    self.probes.remove(probe)
                    probe.close()
                    continue
                probe.send(f"PONG x0={load}")
            if self.sock in ready:
                peer = self.accept()
                line = peer.line()
                if line != "STATS":
                    return peer, line
                peer.send(f"PONG x0={load}")
                self.probes.append(peer)


class NodeTest(unittest.TestCase):
    """Starts one balancer for a test, and ends it."""

    settings: dict[str, Any] = {}  # noqa: RUF012  what a test class changes of the settings
    limits: dict[str, Any] = {}  # noqa: RUF012
    arguments: tuple[str, ...] = ()  # of the command line
    file_size = resource.RLIM_INFINITY  # bytes that the program may write to a file

    def setUp(self) -> None:
        self.server, self.discovery = Listener(), Listener()
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = Path(self.folder.name) / "config.json"
        self.node: subprocess.Popen[str] | None = None
        self.addCleanup(self.stop)

    def member(self, name: str = "s1", **changes: Any) -> dict[str, Any]:
        member = {"id": name, "host_port": self.server.address, "locality": "here", "flavor": "m", "cell": 0}
        return member | {"phase": "ready", "size": 1.0, "up_since_ms": 0} | changes

    def config(self, members: Iterable[dict[str, Any]] | None = None) -> dict[str, Any]:
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
        resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))
        resource.setrlimit(resource.RLIMIT_FSIZE, (self.file_size, self.file_size))

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
        assert self.node
        end = time.monotonic() + PATIENCE
        while True:
            try:
                return self.resting().close()
            except ConnectionRefusedError:
                self.assertIsNone(self.node.poll(), "the program ended")
                self.assertLess(time.monotonic(), end, "the program never listened")
                time.sleep(0.02)

    def client(self) -> Peer:
        return Peer(socket.create_connection(self.listen, PATIENCE))

    def resting(self) -> Peer:
        """A client that has asked for nothing but PONG."""
        client = self.client()
        client.send("PING")
        self.assertEqual(client.line(), "PONG")
        return client

    def open(
        self,
        number: int = 1,
        wait: int = 9000,
        more: str = "",
        group: str = "abc",
        client: Peer | None = None,
    ) -> Peer:
        """A client, a new one if none is given, that has sent its first line."""
        client = client or self.client()
        client.send(f"OPEN {number:016x} key{number} c=web,d={wait},g={group}{more}")
        return client

    def up(self, number: int = 1, group: str = "abc") -> tuple[Peer, Peer]:
        """A connection that stands: the client's end and the server's."""
        client = self.open(number, group=group)
        server, _ = self.server.rpc()
        server.send("UP r1")
        self.assertEqual(client.line(), "UP r1")
        return client, server

    def terminate(self) -> None:
        assert self.node
        self.node.send_signal(signal.SIGTERM)

    def reload(self, text: str = "", **changes: Any) -> dict[str, Any]:
        """Replace the configuration's file, or keys in it, and say so; what the program logs of it."""
        assert self.node
        self.path.write_text(text or json.dumps(json.loads(self.path.read_text()) | changes))
        self.node.send_signal(signal.SIGHUP)
        return self.logged("config_reloaded", "config_reload_rejected")

    def logged(self, *events: str) -> dict[str, Any]:
        """The next line of the program's log that tells one of these events."""
        assert self.node and self.node.stderr
        patience = threading.Timer(PATIENCE, self.node.kill)  # and the log ends
        patience.start()
        try:
            while True:
                line = self.node.stderr.readline()
                self.assertTrue(line, f"the log ended without {events}")
                entry: dict[str, Any] = json.loads(line)
                if entry["event"] in events:
                    return entry
        finally:
            patience.cancel()

    def stop(self) -> str:
        """End the program by SIGKILL if it still runs; what it wrote to its standard error."""
        if self.node is None:
            return ""
        self.node.kill()
        _, errors = self.node.communicate()
        self.node = None
        return errors
