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

READY_WITHIN, READY_WITHIN_BESIDE_PREDECESSOR = 6.0, 10.0  # seconds, of the standing test


@pytest.fixture
def settings() -> dict[str, Any]:
    return SLOW_CONNECT


class Load:
    """Clients that come again at once, for as long as the program is restarted under them."""

    CLIENTS = 20

    def __init__(self, listen: tuple[str, int]) -> None:
        self.listen = listen
        self.established = 0  # connections that have come up
        self._numbers = itertools.count(1)
        self._changed = threading.Condition()
        self._over = threading.Event()
        self._threads = [threading.Thread(target=self._come_again) for _ in range(self.CLIENTS)]
        for thread in self._threads:
            thread.start()

    def _come_again(self) -> None:
        while not self._over.is_set():
            with suppress(OSError):
                self._hold_one()
            self._over.wait(0.02)  # refused, while nobody listens

    def _hold_one(self) -> None:
        """One connection, held until the balancer ends it."""
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
        """Until as many connections as there are clients have come up since there were so many."""
        with self._changed:
            assert self._changed.wait_for(lambda: self.established >= before + self.CLIENTS, TIMEOUT_S)

    def end(self) -> None:
        self._over.set()
        for thread in self._threads:
            thread.join()


@pytest.mark.parametrize("held", [False, True], ids=["predecessor gone", "predecessor there"])
def test_restart_under_load_is_ready_in_time(balancer: Balancer, held: bool) -> None:
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
            if not held:
                assert predecessor.wait(TIMEOUT_S) == 0
            launched = time.monotonic()
            balancer.launch(stderr=subprocess.DEVNULL)
            assert predecessor.wait(TIMEOUT_S) == 0
            balancer.ready()
            took = time.monotonic() - launched
            assert took < (READY_WITHIN_BESIDE_PREDECESSOR if held else READY_WITHIN)
            load.wait_for_all(before=established)
    finally:
        load.end()
        fleet.close()
