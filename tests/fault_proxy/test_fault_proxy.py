"""The fault proxy as a process between clients and an echo server."""

from __future__ import annotations

import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path

import pytest
from support.program_process import ProgramProcess

LOOPBACK = "127.0.0.1"
WAIT_S = 60.0
"""Maximum wait of a test that hangs. No result depends on it."""
FRAME_BYTES = 6
FRAMES = [bytes([0, 0, 0, 2, number, number]) for number in range(100)]


class EchoServer:
    """A server on loopback that echoes and records all bytes, in threads that end with the process.

    `close` closes its listening socket.
    """

    def __init__(self) -> None:
        self.listener = socket.create_server((LOOPBACK, 0))
        self.port: int = self.listener.getsockname()[1]
        self.received: list[bytes] = []
        self.resets = 0
        self.changed = threading.Condition()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._echo, args=(connection,), daemon=True).start()

    def _echo(self, connection: socket.socket) -> None:
        with connection:
            try:
                while data := connection.recv(4096):
                    with self.changed:
                        self.received.append(data)
                        self.changed.notify_all()
                    connection.sendall(data)
            except ConnectionResetError:
                with self.changed:
                    self.resets += 1
                    self.changed.notify_all()

    def wait_for(self, data: bytes) -> None:
        """Wait until `data` has been received."""
        with self.changed:
            assert self.changed.wait_for(lambda: data in b"".join(self.received), timeout=WAIT_S)

    def close(self) -> None:
        """Close the listening socket."""
        self.listener.close()


@dataclass
class ProxiedServer:
    """A fault proxy between clients, named `a`, and an echo server, named `b`. Clients connect to `port`."""

    proxy: ProgramProcess
    echo: EchoServer
    port: int

    def connect(self) -> socket.socket:
        """Connect a client."""
        return socket.create_connection((LOOPBACK, self.port))


@pytest.fixture
def proxied() -> Iterator[ProxiedServer]:
    """Start an echo server and a fault proxy, which must exit with status 0 once its input is closed."""
    with closing(EchoServer()) as echo:
        proxy = ProgramProcess("fault-proxy", f"a:b:0:{echo.port}")
        port = int(proxy.expect("listening a->b").split()[-1])
        proxy.expect("ready")
        yield ProxiedServer(proxy, echo, port)
        assert proxy.close() == 0


def read_exactly(sock: socket.socket, count: int) -> bytes:
    """Read exactly `count` bytes."""
    data = b""
    while len(data) < count:
        part = sock.recv(count - len(data))
        assert part, "the connection was closed"
        data += part
    return data


def read_to_end(sock: socket.socket) -> bytes:
    """Read all bytes until the other side ends the stream."""
    data = b""
    while part := sock.recv(4096):
        data += part
    return data


def test_cut_blocks_one_direction_until_it_is_healed(proxied: ProxiedServer) -> None:
    with proxied.connect() as client:
        client.sendall(b"one")
        proxied.echo.wait_for(b"one")
        assert read_exactly(client, 3) == b"one"
        assert proxied.proxy.send_command("cut b a") == "ok"  # answers are blocked; requests still pass
        client.sendall(b"two")
        proxied.echo.wait_for(b"two")
        assert proxied.proxy.send_command("cut a b") == "ok"
        client.sendall(b"three")
        with proxied.echo.changed:
            received_before_heal = b"".join(proxied.echo.received)
        assert proxied.proxy.send_command("heal") == "ok"
        assert b"three" not in received_before_heal
        assert read_exactly(client, 8) == b"twothree"


def test_reset_closes_the_connections_to_client_and_server_with_rst(proxied: ProxiedServer) -> None:
    with proxied.connect() as client:
        client.sendall(b"x")
        proxied.echo.wait_for(b"x")
        assert read_exactly(client, 1) == b"x"
        assert proxied.proxy.send_command("reset a b") == "ok"
        with pytest.raises(ConnectionResetError):
            while client.recv(1):
                pass
    with proxied.echo.changed:
        assert proxied.echo.changed.wait_for(lambda: proxied.echo.resets == 1, timeout=WAIT_S)


def test_invalid_command_is_answered_with_the_reason(proxied: ProxiedServer) -> None:
    assert proxied.proxy.send_command("delay a b soon") == "error: word 4: 'soon' is not a number"
    assert proxied.proxy.send_command("cut a") == "error: cut takes 2 arguments, not 1"
    assert proxied.proxy.send_command("lose a b 0.5") == "error: word 1: lose needs --frames"


def send_frames_through_lossy_proxy(script: Path) -> list[bytes]:
    """Send FRAMES through a proxy with this script, a delay and a rate limit. Return the echoed frames."""
    with closing(EchoServer()) as echo:
        proxy = ProgramProcess(
            "fault-proxy",
            f"a:b:0:{echo.port}",
            "--frames",
            "--control",
            "0",
            "--seed",
            "5",
            "--script",
            str(script),
        )
        port = int(proxy.expect("listening").split()[-1])
        control_port = int(proxy.expect("control").split()[-1])
        proxy.expect("ready")
        with socket.create_connection((LOOPBACK, control_port)) as control:
            # Once these commands are answered, the script's commands at second 0 have been applied.
            control.sendall(b"delay a b 0.01 0.02\nrate a b 20000\n")
            assert read_exactly(control, 6) == b"ok\nok\n"
        with socket.create_connection((LOOPBACK, port)) as client:
            client.sendall(b"".join(FRAMES))
            client.shutdown(socket.SHUT_WR)
            received = read_to_end(client)
        assert proxy.close() == 0
    return [received[start : start + FRAME_BYTES] for start in range(0, len(received), FRAME_BYTES)]


def test_same_seed_loses_and_duplicates_the_same_complete_frames(tmp_path: Path) -> None:
    script = tmp_path / "script"
    script.write_text("at 0 lose a b 0.3\nat 0 repeat a b 0.3\n")
    first = send_frames_through_lossy_proxy(script)
    second = send_frames_through_lossy_proxy(script)

    assert first == second
    assert first[0] == FRAMES[0], "the first frame is not always delivered"
    assert first == sorted(first), "the order was changed"
    assert set(first) < set(FRAMES), "a frame was damaged"
    assert len(set(first)) < len(first), "no frame was duplicated"
    assert 40 < len(set(first)) < 90, "the number of lost frames does not match the loss ratio"


@pytest.mark.parametrize("name", ["fault-proxy", "link"])
def test_port_in_use_ends_the_proxy_with_status_1_and_one_line(name: str) -> None:
    with socket.create_server((LOOPBACK, 0)) as occupied:
        port = occupied.getsockname()[1]
        command = [sys.executable, "-m", "wheatstile", name, f"a:b:{port}:1"]
        done = subprocess.run(
            command, check=False, stdin=subprocess.DEVNULL, capture_output=True, text=True, timeout=WAIT_S
        )
    assert done.returncode == 1
    assert done.stderr.startswith(f"{name}: ")
    assert len(done.stderr.splitlines()) == 1
