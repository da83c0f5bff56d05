"""The fault proxy as a process between a client and an echo server."""

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
from fleet import Program

LOOPBACK = "127.0.0.1"
WAIT_S = 60.0
"""Only against a hang: no test's result depends on it."""


class EchoServer:
    """A server on loopback that records what it received, in order, and echoes it."""

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
        """Accept no more connections."""
        self.listener.close()


@dataclass
class Link:
    """A fault proxy from `a` to `b`, where `b` is an echo server; clients connect to `port`."""

    proxy: Program
    echo: EchoServer
    port: int

    def connect(self) -> socket.socket:
        """Connect a client."""
        return socket.create_connection((LOOPBACK, self.port))


@pytest.fixture
def link() -> Iterator[Link]:
    """Run a fault proxy; it ends with status 0 once its input is closed."""
    with closing(EchoServer()) as echo:
        proxy = Program("link", f"a:b:0:{echo.port}")
        port = int(proxy.expect("listening a->b").split()[-1])
        proxy.expect("ready")
        yield Link(proxy, echo, port)
        assert proxy.close() == 0


def read_exactly(sock: socket.socket, count: int) -> bytes:
    """So many bytes, however they come."""
    data = b""
    while len(data) < count:
        part = sock.recv(count - len(data))
        assert part, "closed"
        data += part
    return data


def read_to_end(sock: socket.socket) -> bytes:
    """All bytes until the other side ends the stream."""
    data = b""
    while part := sock.recv(4096):
        data += part
    return data


def test_one_way_cut_blocks_bytes_until_healed(link: Link) -> None:
    with link.connect() as client:
        client.sendall(b"one")
        link.echo.wait_for(b"one")
        assert read_exactly(client, 3) == b"one"
        assert link.proxy.tell("cut b a") == "ok"  # answers are blocked; requests still pass
        client.sendall(b"two")
        link.echo.wait_for(b"two")
        assert link.proxy.tell("cut a b") == "ok"
        client.sendall(b"three")
        with link.echo.changed:
            received_before_heal = b"".join(link.echo.received)
        assert link.proxy.tell("heal") == "ok"
        # 'three' was sent before the cut was lifted and could not pass it; the answer to 'two' neither
        assert b"three" not in received_before_heal
        assert read_exactly(client, 8) == b"twothree"


def test_reset_ends_both_sides_of_the_connection_with_rst(link: Link) -> None:
    with link.connect() as client:
        client.sendall(b"x")
        link.echo.wait_for(b"x")
        assert read_exactly(client, 1) == b"x"
        assert link.proxy.tell("reset a b") == "ok"
        with pytest.raises(ConnectionResetError):
            while client.recv(1):
                pass
    with link.echo.changed:
        assert link.echo.changed.wait_for(lambda: link.echo.resets == 1, timeout=WAIT_S)


def test_bad_command_is_answered_with_its_position(link: Link) -> None:
    assert link.proxy.tell("delay a b soon") == "error: word 4: 'soon' is not a number"
    assert link.proxy.tell("cut a") == "error: cut takes 2 arguments, not 1"
    assert link.proxy.tell("lose a b 0.5") == "error: word 1: lose needs --frames"


FRAME_BYTES = 6
FRAMES = [bytes([0, 0, 0, 2, number, number]) for number in range(100)]


def frames_through_a_lossy_proxy(script: Path) -> list[bytes]:
    """Return what a proxy that plays `script` lets through of FRAMES, at a delay and a rate."""
    with closing(EchoServer()) as echo:
        proxy = Program(
            "link", f"a:b:0:{echo.port}", "--frames", "--control", "0", "--seed", "5", "--script", str(script)
        )
        port = int(proxy.expect("listening").split()[-1])
        control_port = int(proxy.expect("control").split()[-1])
        proxy.expect("ready")
        with socket.create_connection((LOOPBACK, control_port)) as control:
            # Once these are answered, the script's commands at second 0 have been carried out.
            control.sendall(b"delay a b 0.01 0.02\nrate a b 20000\n")
            assert read_exactly(control, 6) == b"ok\nok\n"
        with socket.create_connection((LOOPBACK, port)) as client:
            client.sendall(b"".join(FRAMES))
            client.shutdown(socket.SHUT_WR)
            received = read_to_end(client)
        assert proxy.close() == 0
    return [received[start : start + FRAME_BYTES] for start in range(0, len(received), FRAME_BYTES)]


def test_frames_are_lost_and_duplicated_in_one_piece_and_alike_with_one_seed(tmp_path: Path) -> None:
    script = tmp_path / "script"
    script.write_text("at 0 lose a b 0.3\nat 0 repeat a b 0.3\n")
    first = frames_through_a_lossy_proxy(script)
    second = frames_through_a_lossy_proxy(script)
    assert first == second
    assert first[0] == FRAMES[0], "the first frame always passes, once"
    assert first == sorted(first), "in their order"
    assert set(first) < set(FRAMES), "in one piece"
    assert len(set(first)) < len(first), "some come twice"
    assert 40 < len(set(first)) < 90, "some are lost"


def test_port_in_use_ends_the_proxy_with_status_1_and_one_line() -> None:
    with socket.create_server((LOOPBACK, 0)) as taken:
        port = taken.getsockname()[1]
        command = [sys.executable, "-m", "wheatstile", "link", f"a:b:{port}:1"]
        done = subprocess.run(
            command, check=False, stdin=subprocess.DEVNULL, capture_output=True, text=True, timeout=WAIT_S
        )
    assert done.returncode == 1
    assert done.stderr.startswith("link: ")
    assert len(done.stderr.splitlines()) == 1
