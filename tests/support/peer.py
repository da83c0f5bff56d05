"""The peers of a balancer that a test plays itself: a client, a server, discovery; on loopback only."""

import json
import select
import socket
import time
from pathlib import Path
from typing import Any

TIMEOUT_S = 20.0  # within which whatever has to happen must have happened
CONNECT_DROPPED_AFTER_S = 0.3  # a connect that took longer was dropped: the backlog is full
POLL_INTERVAL_S = 0.002
SYN_SENT = "02"  # in /proc/net/tcp
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"  # for SO_LINGER


class Peer:
    """One end of a connection, read by whole lines."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.sock.settimeout(TIMEOUT_S)
        self.buffer = b""

    def send(self, *lines: str) -> None:
        """Send these lines, each with its end."""
        self.sock.sendall("".join(line + "\r\n" for line in lines).encode())

    def line(self) -> str:
        """Return the next line without its end; empty at the end of the connection."""
        while b"\r\n" not in self.buffer:
            data = self.sock.recv(4096)
            if not data:
                return ""
            self.buffer += data
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line.decode()

    def lines_to_the_end(self) -> list[str]:
        """Return all lines until the other side ends the connection; no part of a line may follow them."""
        lines = []
        while line := self.line():
            lines.append(line)
        assert self.buffer == b""
        return lines

    def ends(self) -> bool:
        """Whether the other side ends the connection, in either way, without another line."""
        try:
            return self.line() == ""
        except ConnectionResetError:
            return True

    def begin_watch(self) -> None:
        """Answer a call to discovery with the head of a watch."""
        self.send("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "")

    def chunk(self, revision: int, *members: dict[str, Any], complete: bool = False) -> None:
        """Send one list on a watch."""
        body = json.dumps({"revision": revision, "complete": complete, "members": members}) + "\n"
        self.send(f"{len(body):x}", body)

    def close(self, reset: bool = False) -> None:
        """Close this end, by a reset if asked."""
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.sock.close()


class Listener:
    """A port that the balancer connects to: a server's or discovery's."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.settimeout(TIMEOUT_S)
        self.probes: list[Peer] = []  # the connections that health checks have come on
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

    def accept(self) -> Peer:
        """Return the next connection."""
        return Peer(self.sock.accept()[0])

    def watch(self) -> tuple[Peer, str]:
        """Return the next call to discovery, and its first line."""
        peer = self.accept()
        request_line = peer.line()
        while peer.line():
            pass
        return peer, request_line

    def accept_session(self, load: float = 0.3) -> tuple[Peer, str]:
        """Return the next connection that is no health check's, and its first line.

        Health checks that come meanwhile are answered with this load.
        """
        while True:
            socks = [self.sock, *(probe.sock for probe in self.probes)]
            ready = select.select(socks, [], [], TIMEOUT_S)[0]
            assert ready, "no attempt came"
            self._answer_health_checks(ready, load)
            if self.sock in ready:
                peer = self.accept()
                line = peer.line()
                if line != "STATS":
                    return peer, line
                peer.send(f"PONG x0={load}")
                self.probes.append(peer)

    def _answer_health_checks(self, ready: list[socket.socket], load: float) -> None:
        for probe in [probe for probe in self.probes if probe.sock in ready]:
            if probe.line():
                probe.send(f"PONG x0={load}")
            else:
                self.probes.remove(probe)
                probe.close()

    def fill_backlog(self) -> list[socket.socket]:
        """Fill the backlog: the next connection stays on its way until `accept_waiting` takes these."""
        self.sock.listen(0)
        ahead = []
        while True:
            ahead.append(socket.socket())
            ahead[-1].settimeout(CONNECT_DROPPED_AFTER_S)
            try:
                ahead[-1].connect(self.sock.getsockname())
            except TimeoutError:
                ahead.pop().close()
                return ahead

    def has_waiting(self) -> bool:
        """Whether a connection waits to be accepted."""
        return bool(select.select([self.sock], [], [], 0)[0])

    def is_connecting(self) -> bool:
        """Whether a connection to this port is on its way."""
        port = f":{self.sock.getsockname()[1]:04X}"
        rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        return any(remote.endswith(port) and state == SYN_SENT for _, _, remote, state, *_ in rows)

    def wait_for_connect(self) -> None:
        """Wait until a connection to this port is on its way."""
        end_s = time.monotonic() + TIMEOUT_S
        while not self.is_connecting():
            assert time.monotonic() < end_s, "no connection was begun"
            time.sleep(POLL_INTERVAL_S)

    def accept_waiting(self, ahead: list[socket.socket]) -> Peer:
        """Empty the backlog; returns the connection that was on its way, once it is up."""
        own = {sock.getsockname() for sock in ahead}
        while True:
            peer = self.accept()
            if peer.sock.getpeername() not in own:
                return peer
