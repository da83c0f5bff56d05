"""The fault link as a process between a client and an echo server: cuts hold, heals release."""

from __future__ import annotations

import socket
import threading
from pathlib import Path

import pytest
from fleet import Program


class Echo:
    """A server on loopback that records what it got, in order, and echoes it."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.got: list[bytes] = []
        self.resets = 0
        self.arrived = threading.Condition()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._echo, args=(conn,), daemon=True).start()

    def _echo(self, conn: socket.socket) -> None:
        with conn:
            try:
                while data := conn.recv(4096):
                    with self.arrived:
                        self.got.append(data)
                        self.arrived.notify_all()
                    conn.sendall(data)
            except ConnectionResetError:
                with self.arrived:
                    self.resets += 1
                    self.arrived.notify_all()

    def wait_for(self, data: bytes) -> None:
        with self.arrived:
            assert self.arrived.wait_for(lambda: data in b"".join(self.got), timeout=60)


@pytest.fixture
def link() -> tuple[Program, Echo, int]:  # type: ignore[misc]
    echo = Echo()
    relay = Program("link", f"a:b:0:{echo.port}")
    port = int(relay.expect("listening a->b").split()[-1])
    relay.expect("ready")
    yield relay, echo, port
    assert relay.close() == 0
    echo.listener.close()


def read_exactly(sock: socket.socket, n: int) -> bytes:
    data = b""
    while len(data) < n:
        part = sock.recv(n - len(data))
        assert part, "closed"
        data += part
    return data


def test_a_one_way_cut_holds_bytes_until_healed(link: tuple[Program, Echo, int]) -> None:
    relay, echo, port = link
    with socket.create_connection(("127.0.0.1", port)) as client:
        client.sendall(b"one")
        echo.wait_for(b"one")
        assert read_exactly(client, 3) == b"one"
        assert relay.tell("cut b a") == "ok"  # answers are held; requests still pass
        client.sendall(b"two")
        echo.wait_for(b"two")
        assert relay.tell("cut a b") == "ok"
        client.sendall(b"three")
        with echo.arrived:
            seen_at_heal = b"".join(echo.got)
        assert relay.tell("heal") == "ok"
        # 'three' was sent before the cut was lifted and could not pass it; the answer to 'two' neither
        assert b"three" not in seen_at_heal
        assert read_exactly(client, 8) == b"twothree"


def test_a_reset_ends_the_connection_with_rst(link: tuple[Program, Echo, int]) -> None:
    relay, echo, port = link
    with socket.create_connection(("127.0.0.1", port)) as client:
        client.sendall(b"x")
        echo.wait_for(b"x")
        assert read_exactly(client, 1) == b"x"
        assert relay.tell("reset a b") == "ok"
        with pytest.raises(ConnectionResetError):
            while client.recv(1):
                pass
    with echo.arrived:  # both ways: the server's side was reset as well
        assert echo.arrived.wait_for(lambda: echo.resets == 1, timeout=60)


def test_a_bad_command_is_refused_with_its_word(link: tuple[Program, Echo, int]) -> None:
    relay, _, _ = link
    assert relay.tell("delay a b soon") == "error: word 4: 'soon' is not a number"
    assert relay.tell("cut a") == "error: cut takes 2 arguments, not 1"
    assert relay.tell("lose a b 0.5") == "error: word 1: lose needs --frames"


def test_frames_are_lost_and_repeated_whole_and_the_same_with_one_seed(tmp_path: Path) -> None:
    (tmp_path / "script").write_text("at 0 lose a b 0.3\nat 0 repeat a b 0.3\n")
    frames = [bytes([0, 0, 0, 2, i, i]) for i in range(100)]
    runs = []
    for _ in range(2):
        echo = Echo()
        relay = Program(
            "link",
            f"a:b:0:{echo.port}",
            "--frames",
            "--control",
            "0",
            "--seed",
            "5",
            "--script",
            str(tmp_path / "script"),
        )
        port = int(relay.expect("listening").split()[-1])
        control = int(relay.expect("control").split()[-1])
        relay.expect("ready")
        with socket.create_connection(("127.0.0.1", control)) as asked:
            asked.sendall(b"delay a b 0.01 0.02\nrate a b 20000\n")  # its answer: the script's start is over
            assert read_exactly(asked, 6) == b"ok\nok\n"
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(b"".join(frames))
            client.shutdown(socket.SHUT_WR)
            got = b""
            while part := client.recv(4096):
                got += part
        assert relay.close() == 0
        echo.listener.close()
        runs.append([got[i : i + 6] for i in range(0, len(got), 6)])
    assert runs[0] == runs[1] and runs[0][0] == frames[0], "the first frame always passes, once"
    assert runs[0] == sorted(runs[0]) and set(runs[0]) < set(frames), "whole, and in their order"
    assert len(set(runs[0])) < len(runs[0]) and 40 < len(set(runs[0])) < 90
