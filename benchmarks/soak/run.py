"""One seeded run: balancers, servers, discovery and clients, and the faults that the seed draws."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from soak.balancers import PROGRAM, SoakBalancer
from soak.checks import KEYED_CLASS, UNSAFE_CLASS
from soak.clients import SAFE_CLASS, Front, IdleCrowd, SoakClient
from soak.discovery import EndpointList
from soak.records import RunRecord
from soak.servers import SoakServer

BALANCERS = 3
SERVERS = 5
CLIENTS = 40
FAULTS_S = 7.0  # duration of the faults; the restarts that have begun are completed after it
CROWD_EVERY = 4  # seeds that are a multiple of it have a crowd of idle clients
CROWD_DESCRIPTORS = 160
DESCRIPTORS = 1024
DRAIN_GRACE_S = 1.0
DEDUPLICATION_WINDOW_S = 1.0
LONGEST_DEADLINES_S = (1.0, 2.0, 3.0, 5.0)
REPEATS = {SAFE_CLASS: "retryable", KEYED_CLASS: "dedup", UNSAFE_CLASS: "fragile"}
US_PER_S = 1_000_000
NEW_CLIENTS_AFTER_SIGTERM_S = (0.2, 0.4)  # protocol: new connections keep coming for so long
QUIET_S = 1.0  # after the clients have left, before leftovers are counted
LAG_INTERVAL_S = 0.02
SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGHUP)
SERVER_FAULT_PAUSE_S = (0.3, 1.5)


def platform_settings(longest_deadline_s: float) -> dict[str, object]:
    """Return the platform's settings; the class that cannot be repeated has the longest deadline."""
    return {
        "classes": service_classes(longest_deadline_s),
        "discovery": "on_request",
        "familyInfo": {"messageAimUs": [60_000.0] * len(REPEATS), "tellsLoad": True},
        "fleetSize": BALANCERS,
        "limits": {
            "dialTimeoutUs": 1_000_000,
            "keepaliveUs": 15_000_000,
            "maxAttempts": 4,
            "maxRetryAfterUs": 500_000,
            "mayProbe": True,
            "retryAfter": True,
        },
        "rules": {
            "coldFrom": 0.2,
            "tipMultiple": 3.0,
            "warmAfterUs": 20_000_000,
            "drainGraceUs": int(DRAIN_GRACE_S * US_PER_S),
        },
        "telemetry": {"names": ["x0"], "via": "pull"},
        "zone": "here",
    }


def service_classes(longest_deadline_s: float) -> list[dict[str, object]]:
    """Return the classes of the platform's settings."""
    deadlines_s = class_deadlines_s(longest_deadline_s)
    return [
        {
            "name": name,
            "aimUs": 500_000,
            "deadlineUs": int(deadlines_s[name] * US_PER_S),
            "repeat": repeat,
            "dedupScope": "all",
            "dedupWindowUs": int(DEDUPLICATION_WINDOW_S * US_PER_S),
        }
        for name, repeat in REPEATS.items()
    ]


def class_deadlines_s(longest_deadline_s: float) -> dict[str, float]:
    """Return the deadline of each class."""
    return {
        SAFE_CLASS: longest_deadline_s * 0.8,
        KEYED_CLASS: longest_deadline_s * 0.9,
        UNSAFE_CLASS: longest_deadline_s,
    }


class SoakRun:
    """All parts of one run. `play` plays it and returns its record."""

    def __init__(self, seed: int, folder: Path, program: tuple[str, ...] = PROGRAM) -> None:
        self.rng = random.Random(seed)
        self.longest_deadline_s = self.rng.choice(LONGEST_DEADLINES_S)
        has_crowd = seed % CROWD_EVERY == 0
        self.record = RunRecord(seed, DEDUPLICATION_WINDOW_S, DRAIN_GRACE_S, has_crowd)
        self.endpoints = EndpointList()
        self.servers = [self._server(f"s{number}") for number in range(SERVERS)]
        self.balancers = [
            SoakBalancer(
                f"n{number}",
                self.record,
                self.endpoints,
                platform_settings(self.longest_deadline_s),
                folder,
                CROWD_DESCRIPTORS if has_crowd else DESCRIPTORS,
                program,
            )
            for number in range(BALANCERS)
        ]
        front = Front(seed, self.balancers)
        wait_s = class_deadlines_s(self.longest_deadline_s)
        self.clients = [
            SoakClient(number, self.record, front, self._new_rng(), wait_s) for number in range(CLIENTS)
        ]

    def _new_rng(self) -> random.Random:
        return random.Random(self.rng.getrandbits(64))

    def _server(self, name: str) -> SoakServer:
        return SoakServer(name, self.record, self._new_rng())

    def publish(self, server: SoakServer) -> None:
        """Put a server's present entry into the list."""
        self.endpoints.set(server.member())

    async def play(self) -> RunRecord:
        """Play the run to its end, and return what was seen."""
        lag = asyncio.create_task(self._measure_lag())
        try:
            await self._start()
            clients = [asyncio.create_task(client.run()) for client in self.clients]
            await self._inject_faults()
            if self.record.seed % 2:
                await self._end_clients_first(clients)
            else:
                await self._end_balancers_first(clients)
            for balancer in self.balancers:
                balancer.collect_errors()
        finally:
            lag.cancel()
            for balancer in self.balancers:
                balancer.close()
            for server in self.servers:
                server.close()
        return self.record

    async def _measure_lag(self) -> None:
        """Record the longest delay of this event loop, which is no delay of the program."""
        loop = asyncio.get_running_loop()
        while True:
            before_s = loop.time()
            await asyncio.sleep(LAG_INTERVAL_S)
            self.record.max_lag_s = max(self.record.max_lag_s, loop.time() - before_s - LAG_INTERVAL_S)

    async def _start(self) -> None:
        for server in self.servers:
            await server.start()
            self.publish(server)
        for balancer in self.balancers:
            for service in balancer.services:
                await service.start()
            balancer.launch()
        await asyncio.gather(*(balancer.wait_until_ready() for balancer in self.balancers))

    async def _inject_faults(self) -> None:
        """Run the faults of balancers, servers and discovery side by side."""
        async with asyncio.TaskGroup() as tasks:
            for balancer in self.balancers[:-1]:
                tasks.create_task(self._restart_in_series(balancer, self._new_rng()))
            tasks.create_task(self._reload_in_series(self.balancers[-1], self._new_rng()))
            tasks.create_task(self._repeat(self._disturb_servers, self._new_rng()))
            tasks.create_task(self._repeat(self._disturb_discovery, self._new_rng()))
            if self.record.has_crowd:
                tasks.create_task(IdleCrowd(CROWD_DESCRIPTORS).visit(self.balancers[-1]))

    async def _repeat(self, fault: Callable[[random.Random], Awaitable[None]], rng: random.Random) -> None:
        end_s = asyncio.get_running_loop().time() + FAULTS_S
        while asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(rng.uniform(*SERVER_FAULT_PAUSE_S))
            await fault(rng)

    async def _restart_in_series(self, balancer: SoakBalancer, rng: random.Random) -> None:
        """Reload a few times, then restart the balancer, with further signals during its shutdown."""
        await asyncio.sleep(rng.uniform(0.2, FAULTS_S / 2))
        for _ in range(rng.randrange(3)):
            balancer.reload(change_discovery=rng.random() < 0.5)
            await asyncio.sleep(rng.choice((0.0, 0.01, 0.2)))
        if rng.random() < 0.2:
            balancer.kill_outright()
            await asyncio.sleep(rng.uniform(0.0, 1.0))
        else:
            await self._shut_down(balancer, rng)
        balancer.launch()
        await balancer.wait_until_ready()

    async def _shut_down(self, balancer: SoakBalancer, rng: random.Random) -> None:
        """Send SIGTERM and further signals; the front stops sending new clients a little later."""
        balancer.signal(signal.SIGTERM)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._close_front(balancer, rng))
            tasks.create_task(self._signal_during_shutdown(balancer, rng))
            tasks.create_task(balancer.wait_until_killed(self.longest_deadline_s))

    async def _close_front(self, balancer: SoakBalancer, rng: random.Random) -> None:
        await asyncio.sleep(rng.uniform(*NEW_CLIENTS_AFTER_SIGTERM_S))
        balancer.is_admitted = False

    async def _signal_during_shutdown(self, balancer: SoakBalancer, rng: random.Random) -> None:
        for number in rng.sample(SHUTDOWN_SIGNALS, rng.randrange(len(SHUTDOWN_SIGNALS))):
            await asyncio.sleep(rng.choice((0.0, 0.01, rng.uniform(0.1, 1.5))))
            if number is signal.SIGHUP:
                balancer.reload(change_discovery=rng.random() < 0.5)
            else:
                balancer.signal(number)

    async def _reload_in_series(self, balancer: SoakBalancer, rng: random.Random) -> None:
        for _ in range(rng.randrange(1, 6)):
            await asyncio.sleep(rng.choice((0.0, 0.02, rng.uniform(0.2, 1.5))))
            balancer.reload(change_discovery=rng.random() < 0.7)

    async def _disturb_servers(self, rng: random.Random) -> None:
        """Drain and replace a server, crash and restart one, or let one hang."""
        ready = [server for server in self.servers if server.phase == "ready"]
        server = rng.choice(ready)
        match rng.randrange(4):
            case 0 | 1 if len(ready) > 2:
                await self._replace(server, rng)
            case 2:
                server.crash()
                await asyncio.sleep(rng.uniform(0.1, 1.0))
                await server.restart()
                self.publish(server)
            case _:
                await server.hang(rng.uniform(0.5, 3.0))

    async def _replace(self, server: SoakServer, rng: random.Random) -> None:
        """Drain a server, remove it, and add another one."""
        server.phase = "draining"
        self.publish(server)
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        if rng.random() < 0.5:
            server.migrate_clients()
        successor = self._server(f"s{len(self.servers)}")
        await successor.restart()
        self.servers.append(successor)
        self.publish(successor)
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        server.phase = "gone"
        self.publish(server)
        server.crash()

    async def _disturb_discovery(self, rng: random.Random) -> None:
        """Let one balancer's discovery fail, or its watch fall silent."""
        service = rng.choice(rng.choice(self.balancers).services)
        if rng.random() < 0.5:
            service.go_down()
        else:
            service.is_silent = True
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        service.come_back()

    async def _end_clients_first(self, clients: list[asyncio.Task[None]]) -> None:
        """Let all clients leave at one time, count what the balancers still have, and end the balancers."""
        for client in self.clients:
            client.is_closing = True
        for task in clients:
            task.cancel()
        await asyncio.wait(clients)
        await asyncio.sleep(QUIET_S + self.longest_deadline_s)
        for balancer in self.balancers:
            balancer.check_leftovers(len(self.servers))
        await self._shut_down_all()

    async def _end_balancers_first(self, clients: list[asyncio.Task[None]]) -> None:
        """End the balancers under clients that use their sessions until SIGKILL."""
        for client in self.clients:
            client.is_closing = True
        await self._shut_down_all()
        await asyncio.wait(clients)

    async def _shut_down_all(self) -> None:
        await asyncio.gather(*(self._shut_down(balancer, self._new_rng()) for balancer in self.balancers))
