"""Connections and listeners for a test that acts as a client, a server or discovery on loopback."""

import json
import select
import socket
import time
from pathlib import Path
from typing import Any

TIMEOUT_S = 20.0  # timeout of any single wait; a correct program never reaches it
CONNECT_DROPPED_AFTER_S = 0.3  # a connect that takes longer was dropped because the backlog is full
POLL_INTERVAL_S = 0.002
SYN_SENT = "02"  # state of a connecting socket in /proc/net/tcp
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"  # value of SO_LINGER: on, 0 s


class Peer:
    """One end of a connection, with methods that send and receive lines. `close` closes the connection."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.sock.settimeout(TIMEOUT_S)
        self.buffer = b""

    def send(self, *lines: str) -> None:
        """Send these lines, each with a line terminator."""
        self.sock.sendall("".join(line + "\r\n" for line in lines).encode())

    def line(self) -> str:
        """Return the next line without its terminator, or an empty string at the end of the connection.

        Raises ConnectionResetError if the other side resets the connection, TimeoutError after TIMEOUT_S.
        """
        while b"\r\n" not in self.buffer:
            data = self.sock.recv(4096)
            if not data:
                return ""
            self.buffer += data
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line.decode()

    def lines_to_the_end(self) -> list[str]:
        """Return all lines until the end of the connection, and check that the last one is complete."""
        lines = []
        while line := self.line():
            lines.append(line)
        assert self.buffer == b""
        return lines

    def wait_for_end(self) -> bool:
        """Wait for a line or the end of the connection, and return whether the connection ends first."""
        try:
            return self.line() == ""
        except ConnectionResetError:
            return True

    def begin_watch(self) -> None:
        """Answer a call to discovery with the response headers of a watch."""
        self.send("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "")

    def send_endpoint_list(self, revision: int, *members: dict[str, Any], complete: bool = False) -> None:
        """Send an endpoint list on a watch, as one chunk. If `complete`, it replaces the previous list."""
        body = json.dumps({"revision": revision, "complete": complete, "members": members}) + "\n"
        self.send(f"{len(body):x}", body)

    def close(self, reset: bool = False) -> None:
        """Close the connection. If `reset`, it ends with a TCP reset."""
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.sock.close()


class Listener:
    """A listening socket that the balancer connects to, as a server or as discovery.

    The constructor opens the socket. A connection is accepted only when a test calls a method that does so.

    Attributes:
        address: the address of the socket, `HOST:PORT`.
        health_checks: the open connections on which health checks have been received.
    """

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.settimeout(TIMEOUT_S)
        self.health_checks: list[Peer] = []
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

    def accept(self) -> Peer:
        """Accept the next connection, and return it."""
        return Peer(self.sock.accept()[0])

    def watch(self) -> tuple[Peer, str]:
        """Accept a call to discovery, read its headers, and return the connection and the request line."""
        peer = self.accept()
        request_line = peer.line()
        while peer.line():
            pass
        return peer, request_line

    def accept_session(self, load: float = 0.3) -> tuple[Peer, str]:
        """Wait for an attempt to open a session, and return its connection and its first line.

        Health checks that arrive before it are answered with this load, and their connections stay open.
        """
        session = self.accept_session_unless_readable(None, load)
        assert session
        return session

    def accept_session_unless_readable(
        self, client: socket.socket | None, load: float = 0.3
    ) -> tuple[Peer, str] | None:
        """Wait like `accept_session`, but return None as soon as the client's socket is readable."""
        while True:
            socks = [self.sock, *(health_check.sock for health_check in self.health_checks)]
            ready = select.select([client, *socks] if client else socks, [], [], TIMEOUT_S)[0]
            assert ready, "neither an attempt nor an answer to the client was received"
            if client in ready:
                return None
            self._answer_health_checks(ready, load)
            if self.sock in ready:
                peer = self.accept()
                line = peer.line()
                if line != "STATS":
                    return peer, line
                peer.send(f"PONG x0={load}")
                self.health_checks.append(peer)

    def _answer_health_checks(self, ready: list[socket.socket], load: float) -> None:
        """Answer the next line of each ready connection, and close those that the balancer has ended."""
        for health_check in [peer for peer in self.health_checks if peer.sock in ready]:
            if health_check.line():
                health_check.send(f"PONG x0={load}")
            else:
                self.health_checks.remove(health_check)
                health_check.close()

    def fill_backlog(self) -> list[socket.socket]:
        """Fill the backlog with connections, and return their sockets, which stay open.

        The next connect then remains pending until `accept_waiting_connection` accepts these connections.
        """
        self.sock.listen(0)
        backlog_sockets: list[socket.socket] = []
        while True:
            sock = socket.socket()
            sock.settimeout(CONNECT_DROPPED_AFTER_S)
            try:
                sock.connect(self.sock.getsockname())
            except TimeoutError:
                sock.close()
                return backlog_sockets
            backlog_sockets.append(sock)

    def has_waiting_connection(self) -> bool:
        """Return whether the backlog contains an established connection."""
        return bool(select.select([self.sock], [], [], 0)[0])

    def is_connecting(self) -> bool:
        """Return whether a connect to this socket is pending."""
        port = f":{self.sock.getsockname()[1]:04X}"
        rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        return any(remote.endswith(port) and state == SYN_SENT for _, _, remote, state, *_ in rows)

    def wait_for_connect(self) -> None:
        """Wait until a connect to this socket is pending."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while not self.is_connecting():
            assert time.monotonic() < deadline_s, f"no connect to {self.address} is pending"
            time.sleep(POLL_INTERVAL_S)

    def accept_waiting_connection(self, backlog_sockets: list[socket.socket]) -> Peer:
        """Accept the connections of `fill_backlog` and the one that waits after them. Return the latter."""
        backlog_addresses = {sock.getsockname() for sock in backlog_sockets}
        while True:
            peer = self.accept()
            if peer.sock.getpeername() not in backlog_addresses:
                return peer
