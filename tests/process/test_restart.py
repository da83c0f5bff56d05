"""Restarts of the process while many clients reconnect."""

import itertools
import signal
import socket
import subprocess
import threading
import time
from collections.abc import Iterator
from contextlib import closing, suppress
from typing import Any

import pytest
from support.balancer import SLOW_CONNECT, Balancer
from support.echo_servers import EchoServers
from support.peer import TIMEOUT_S, Peer

READY_TIMEOUT_S = 6.0  # time from the launch until the balancer answers PING
READY_TIMEOUT_BESIDE_PREDECESSOR_S = 10.0  # the same, while the previous process still uses the address
RECONNECT_DELAY_S = 0.02


@pytest.fixture
def settings() -> dict[str, Any]:
    return SLOW_CONNECT


class ReconnectingClients:
    """Runs one thread for each client, which opens a session and reconnects when the session ends.

    The constructor starts the threads. `close` ends them and their connections.
    """

    COUNT = 20

    def __init__(self, listen: tuple[str, int]) -> None:
        self.listen = listen
        self.established = 0  # sessions established so far
        self._numbers = itertools.count(1)
        self._changed = threading.Condition()
        self._closing = threading.Event()
        self._threads = [threading.Thread(target=self._keep_connecting) for _ in range(self.COUNT)]
        for thread in self._threads:
            thread.start()

    def _keep_connecting(self) -> None:
        while not self._closing.is_set():
            with suppress(OSError):  # the connection is refused while no process listens
                self._run_session()
            self._closing.wait(RECONNECT_DELAY_S)

    def _run_session(self) -> None:
        """Open one session, and return when the balancer ends it."""
        with socket.create_connection(self.listen, TIMEOUT_S) as sock:
            client = Peer(sock)
            with self._changed:
                number = next(self._numbers)
            client.send(f"OPEN {number:016x} key{number} c=web,d=9000,g=g{number}")
            if not client.line().startswith("UP "):
                return
            with self._changed:
                self.established += 1
                self._changed.notify_all()
            client.sock.settimeout(0.2)
            while not self._closing.is_set():
                with suppress(TimeoutError):
                    if not client.line():
                        return

    def wait_for_all(self, before: int) -> None:
        """Wait until COUNT more sessions than `before` have been established."""
        with self._changed:
            assert self._changed.wait_for(lambda: self.established >= before + self.COUNT, TIMEOUT_S)

    def close(self) -> None:
        """End all clients and wait for their threads."""
        self._closing.set()
        for thread in self._threads:
            thread.join()


@pytest.fixture
def echo_servers() -> Iterator[EchoServers]:
    """Return three servers that accept every session."""
    with closing(EchoServers(["s1", "s2", "s3"])) as echo_servers:
        yield echo_servers


@pytest.mark.parametrize("address_in_use", [False, True], ids=["address free", "address in use"])
def test_restart_under_load_is_ready_in_time(
    balancer: Balancer, echo_servers: EchoServers, address_in_use: bool
) -> None:
    """Restart three times. With `address_in_use`, the new process starts while the old one shuts down."""
    members = [balancer.member(name, host_port=address) for name, address in echo_servers.addresses.items()]
    balancer.start(members, stderr=subprocess.DEVNULL)
    timeout_s = READY_TIMEOUT_BESIDE_PREDECESSOR_S if address_in_use else READY_TIMEOUT_S
    with closing(ReconnectingClients(balancer.listen)) as clients:
        clients.wait_for_all(before=0)
        for _ in range(3):
            predecessor = balancer.process
            established = clients.established
            predecessor.send_signal(signal.SIGTERM)
            if not address_in_use:
                assert predecessor.wait(TIMEOUT_S) == 0
            launched_at = time.monotonic()
            balancer.launch(stderr=subprocess.DEVNULL)
            assert predecessor.wait(TIMEOUT_S) == 0
            balancer.wait_until_ready()
            assert time.monotonic() - launched_at < timeout_s
            clients.wait_for_all(before=established)
