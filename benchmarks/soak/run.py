"""Runs balancers, servers, discovery and clients for one seed, and injects faults drawn from the seed."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from soak.balancers import PROGRAM, SoakBalancer
from soak.checks import KEYED_CLASS, UNSAFE_CLASS
from soak.clients import SAFE_CLASS, BalancerSelector, IdleClients, SoakClient
from soak.discovery import EndpointList
from soak.records import RunRecord
from soak.servers import SoakServer

BALANCER_COUNT = 3
SERVER_COUNT = 5
CLIENT_COUNT = 40
FAULT_DURATION_S = 7.0  # approximate; restarts in progress are completed afterwards
IDLE_CLIENTS_SEED_STEP = 4  # runs whose seed is a multiple of this number have idle clients
LOW_DESCRIPTOR_LIMIT = 160  # descriptor limit, and number of idle clients, in runs with idle clients
DESCRIPTOR_LIMIT = 1024
DRAIN_GRACE_S = 1.0
DEDUPLICATION_WINDOW_S = 1.0
LONGEST_DEADLINES_S = (1.0, 2.0, 3.0, 5.0)
REPEAT_SETTINGS = {SAFE_CLASS: "retryable", KEYED_CLASS: "dedup", UNSAFE_CLASS: "fragile"}
US_PER_S = 1_000_000
# Protocol: new clients still connect for this long after SIGTERM.
NEW_CLIENTS_AFTER_SIGTERM_RANGE_S = (0.2, 0.4)
LEAK_CHECK_DELAY_S = 1.0  # leaks are checked this long, plus the longest deadline, after the last disconnect
LOOP_LAG_INTERVAL_S = 0.02
SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGHUP)
FAULT_INTERVAL_RANGE_S = (0.3, 1.5)  # time before each fault of a server, and before each fault of discovery


def platform_settings(longest_deadline_s: float) -> dict[str, object]:
    """Return the platform's settings. The class that forbids repeats has the longest deadline."""
    return {
        "classes": service_classes(longest_deadline_s),
        "discovery": "on_request",
        "familyInfo": {"messageAimUs": [60_000.0] * len(REPEAT_SETTINGS), "tellsLoad": True},
        "fleetSize": BALANCER_COUNT,
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
    """Return the service classes of the platform's settings."""
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
        for name, repeat in REPEAT_SETTINGS.items()
    ]


def class_deadlines_s(longest_deadline_s: float) -> dict[str, float]:
    """Return the deadline of each service class."""
    return {
        SAFE_CLASS: longest_deadline_s * 0.8,
        KEYED_CLASS: longest_deadline_s * 0.9,
        UNSAFE_CLASS: longest_deadline_s,
    }


class SoakRun:
    """One run of the soak test: its balancers, servers, discovery services and clients."""

    def __init__(self, seed: int, directory: Path, program: tuple[str, ...] = PROGRAM) -> None:
        self.rng = random.Random(seed)
        self.longest_deadline_s = self.rng.choice(LONGEST_DEADLINES_S)
        has_idle_clients = seed % IDLE_CLIENTS_SEED_STEP == 0
        self.record = RunRecord(seed, DEDUPLICATION_WINDOW_S, DRAIN_GRACE_S, has_idle_clients)
        self.endpoints = EndpointList()
        self.servers = [self._new_server(f"s{number}") for number in range(SERVER_COUNT)]
        self.balancers = [
            SoakBalancer(
                f"n{number}",
                self.record,
                self.endpoints,
                platform_settings(self.longest_deadline_s),
                directory,
                LOW_DESCRIPTOR_LIMIT if has_idle_clients else DESCRIPTOR_LIMIT,
                program,
            )
            for number in range(BALANCER_COUNT)
        ]
        selector = BalancerSelector(seed, self.balancers)
        timeouts_s = class_deadlines_s(self.longest_deadline_s)
        self.clients = [
            SoakClient(number, self.record, selector, self._new_rng(), timeouts_s)
            for number in range(CLIENT_COUNT)
        ]

    def _new_rng(self) -> random.Random:
        return random.Random(self.rng.getrandbits(64))

    def _new_server(self, name: str) -> SoakServer:
        return SoakServer(name, self.record, self._new_rng())

    def publish(self, server: SoakServer) -> None:
        """Publish the current entry of a server in the endpoint list."""
        self.endpoints.set(server.member())

    async def run(self) -> RunRecord:
        """Run clients and faults until all clients and balancers have ended, and return the record."""
        lag_task = asyncio.create_task(self._measure_loop_lag())
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
            lag_task.cancel()
            for balancer in self.balancers:
                balancer.close()
            for server in self.servers:
                server.close()
        return self.record

    async def _measure_loop_lag(self) -> None:
        """Record the maximum lag of this event loop. The checks tolerate this lag: no balancer causes it."""
        loop = asyncio.get_running_loop()
        while True:
            before_s = loop.time()
            await asyncio.sleep(LOOP_LAG_INTERVAL_S)
            self.record.max_loop_lag_s = max(
                self.record.max_loop_lag_s, loop.time() - before_s - LOOP_LAG_INTERVAL_S
            )

    async def _start(self) -> None:
        for server in self.servers:
            await server.start()
            self.publish(server)
        for balancer in self.balancers:
            for service in balancer.discovery_services:
                await service.start()
            balancer.launch()
        await asyncio.gather(*(balancer.wait_until_ready() for balancer in self.balancers))

    async def _inject_faults(self) -> None:
        """Inject faults of balancers, servers and discovery concurrently."""
        async with asyncio.TaskGroup() as tasks:
            for balancer in self.balancers[:-1]:
                tasks.create_task(self._reload_and_restart(balancer, self._new_rng()))
            tasks.create_task(self._reload_several_times(self.balancers[-1], self._new_rng()))
            tasks.create_task(self._inject_repeatedly(self._inject_server_fault, self._new_rng()))
            tasks.create_task(self._inject_repeatedly(self._inject_discovery_fault, self._new_rng()))
            if self.record.has_idle_clients:
                tasks.create_task(IdleClients(LOW_DESCRIPTOR_LIMIT).occupy(self.balancers[-1]))

    async def _inject_repeatedly(
        self, fault: Callable[[random.Random], Awaitable[None]], rng: random.Random
    ) -> None:
        end_s = asyncio.get_running_loop().time() + FAULT_DURATION_S
        while asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(rng.uniform(*FAULT_INTERVAL_RANGE_S))
            await fault(rng)

    async def _reload_and_restart(self, balancer: SoakBalancer, rng: random.Random) -> None:
        """Reload the balancer up to twice, then restart it after SIGTERM or a SIGKILL without SIGTERM."""
        await asyncio.sleep(rng.uniform(0.2, FAULT_DURATION_S / 2))
        for _ in range(rng.randrange(3)):
            balancer.reload(change_discovery=rng.random() < 0.5)
            await asyncio.sleep(rng.choice((0.0, 0.01, 0.2)))
        if rng.random() < 0.2:
            balancer.kill_without_sigterm()
            await asyncio.sleep(rng.uniform(0.0, 1.0))
        else:
            await self._shut_down(balancer, rng)
        balancer.launch()
        await balancer.wait_until_ready()

    async def _shut_down(self, balancer: SoakBalancer, rng: random.Random) -> None:
        """Send SIGTERM and further signals, and stop new clients a little later."""
        balancer.signal(signal.SIGTERM)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._stop_new_clients(balancer, rng))
            tasks.create_task(self._signal_during_shutdown(balancer, rng))
            tasks.create_task(balancer.wait_until_ended(self.longest_deadline_s))

    async def _stop_new_clients(self, balancer: SoakBalancer, rng: random.Random) -> None:
        await asyncio.sleep(rng.uniform(*NEW_CLIENTS_AFTER_SIGTERM_RANGE_S))
        balancer.accepts_new_clients = False

    async def _signal_during_shutdown(self, balancer: SoakBalancer, rng: random.Random) -> None:
        for number in rng.sample(SHUTDOWN_SIGNALS, rng.randrange(len(SHUTDOWN_SIGNALS))):
            await asyncio.sleep(rng.choice((0.0, 0.01, rng.uniform(0.1, 1.5))))
            if number is signal.SIGHUP:
                balancer.reload(change_discovery=rng.random() < 0.5)
            else:
                balancer.signal(number)

    async def _reload_several_times(self, balancer: SoakBalancer, rng: random.Random) -> None:
        for _ in range(rng.randrange(1, 6)):
            await asyncio.sleep(rng.choice((0.0, 0.02, rng.uniform(0.2, 1.5))))
            balancer.reload(change_discovery=rng.random() < 0.7)

    async def _inject_server_fault(self, rng: random.Random) -> None:
        """Drain and replace a server, crash and restart it, or let it hang."""
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
        successor = self._new_server(f"s{len(self.servers)}")
        await successor.restart()
        self.servers.append(successor)
        self.publish(successor)
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        server.phase = "gone"
        self.publish(server)
        server.crash()

    async def _inject_discovery_fault(self, rng: random.Random) -> None:
        """Make one discovery service fail, or send nothing on its watches, for a while."""
        service = rng.choice(rng.choice(self.balancers).discovery_services)
        if rng.random() < 0.5:
            service.go_down()
        else:
            service.is_silent = True
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        service.recover()

    async def _end_clients_first(self, clients: list[asyncio.Task[None]]) -> None:
        """Disconnect all clients at once, check the balancers for leaks, and shut the balancers down."""
        for client in self.clients:
            client.is_closing = True
        for task in clients:
            task.cancel()
        await asyncio.wait(clients)
        await asyncio.sleep(LEAK_CHECK_DELAY_S + self.longest_deadline_s)
        for balancer in self.balancers:
            balancer.check_resource_leaks(len(self.servers))
        await self._shut_down_all()

    async def _end_balancers_first(self, clients: list[asyncio.Task[None]]) -> None:
        """Shut the balancers down while clients still use their sessions."""
        for client in self.clients:
            client.is_closing = True
        await self._shut_down_all()
        await asyncio.wait(clients)

    async def _shut_down_all(self) -> None:
        await asyncio.gather(*(self._shut_down(balancer, self._new_rng()) for balancer in self.balancers))
