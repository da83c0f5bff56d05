"""Restarts of the process under load."""

import itertools
import signal
import socket
import subprocess
import threading
import time
from contextlib import suppress
from typing import Any

import pytest
from fleet import Fleet
from support.balancer import SLOW_CONNECT, Balancer
from support.peer import TIMEOUT_S, Peer

# Of the standing test.
READY_TIMEOUT_S = 6.0
READY_TIMEOUT_BESIDE_PREDECESSOR_S = 10.0


@pytest.fixture
def settings() -> dict[str, Any]:
    return SLOW_CONNECT


class Load:
    """Clients that connect again at once, for as long as the program is restarted under them."""

    CLIENTS = 20

    def __init__(self, listen: tuple[str, int]) -> None:
        self.listen = listen
        self.established = 0  # connections that have come up
        self._numbers = itertools.count(1)
        self._changed = threading.Condition()
        self._over = threading.Event()
        self._threads = [threading.Thread(target=self._keep_connecting) for _ in range(self.CLIENTS)]
        for thread in self._threads:
            thread.start()

    def _keep_connecting(self) -> None:
        while not self._over.is_set():
            with suppress(OSError):
                self._run_session()
            self._over.wait(0.02)  # refused, while nobody listens

    def _run_session(self) -> None:
        """Run one session until the balancer ends it."""
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
            while not self._over.is_set():
                with suppress(TimeoutError):
                    if not client.line():
                        return

    def wait_for_all(self, before: int) -> None:
        """Wait until as many sessions as there are clients were established since there were so many."""
        with self._changed:
            assert self._changed.wait_for(lambda: self.established >= before + self.CLIENTS, TIMEOUT_S)

    def end(self) -> None:
        """End all clients."""
        self._over.set()
        for thread in self._threads:
            thread.join()


@pytest.mark.parametrize("address_in_use", [False, True], ids=["address free", "address in use"])
def test_restart_under_load_is_ready_in_time(balancer: Balancer, address_in_use: bool) -> None:
    """Three times in a row, all clients coming again at once; the second way the address is still held."""
    fleet = Fleet(["s1", "s2", "s3"])
    members = [balancer.member(name, host_port=address) for name, address in fleet.addresses.items()]
    balancer.start(members, stderr=subprocess.DEVNULL)
    load = Load(balancer.listen)
    try:
        load.wait_for_all(before=0)
        for _ in range(3):
            predecessor = balancer.process
            established = load.established
            predecessor.send_signal(signal.SIGTERM)
            if not address_in_use:
                assert predecessor.wait(TIMEOUT_S) == 0
            launched_at = time.monotonic()
            balancer.launch(stderr=subprocess.DEVNULL)
            assert predecessor.wait(TIMEOUT_S) == 0
            balancer.ready()
            ready_after_s = time.monotonic() - launched_at
            assert ready_after_s < (READY_TIMEOUT_BESIDE_PREDECESSOR_S if address_in_use else READY_TIMEOUT_S)
            load.wait_for_all(before=established)
    finally:
        load.end()
        fleet.close()
