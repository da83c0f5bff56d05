"""Many balancers of one fleet on a simple model of servers: what is harmless alone shows its harm here.

A server holds so many connections; its load is what it holds over what it can bear now, read as it was REPORT
ago. Time runs by events on one heap, and all chance comes from the seed, so that a run is always the same.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from itertools import count
from random import Random

from support.balancer_harness import SECOND_US, settings
from wheatstile import Balancer
from wheatstile import interface as api

REPORT = 300_000  # microseconds that a report is old
HOP = 2_000  # to a server and back


class FleetModel:
    """Balancers by number, servers by name; clients that are refused or moved come again elsewhere."""

    def __init__(self, balancers: int, servers: list[str], holds: int, seed: int, **changes: object) -> None:
        self.now, self.random, self.holds = 1000 * SECOND_US, Random(seed), holds
        self.settings = settings(fleet_size=balancers, reports_message_latency=False, **changes)
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._order, self._ids = count(), count()
        self.entries = {name: api.Endpoint(name, api.EndpointState.READY, "here") for name in servers}
        self.held: Counter[str] = Counter()  # open connections by server
        self.history: dict[str, list[tuple[int, float]]] = defaultdict(list)  # by server: when, which load
        self.where: dict[str, tuple[int, str]] = {}  # open connections: balancer and server
        self.sends: list[tuple[int, str]] = []
        self.waiting: set[str] = set()  # without a connection, or told to come again a moment ago
        self.attempts: Counter[str] = Counter()
        self.balancers: list[Balancer] = []
        for number in range(balancers):
            balancer = Balancer(self.settings, self.random.getrandbits(32))
            self.balancers.append(balancer)
            self.carry_out(number, balancer.start(self.now))
            self.dispatch(
                number, api.EndpointUpdate(api.EndpointUpdateKind.CACHED, list(self.entries.values()))
            )

    def later(self, delay: int, work: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + delay, next(self._order), work))

    def run(self, length: int) -> None:
        end = self.now + length
        while self._due and self._due[0][0] <= end:
            self.now, _, work = heapq.heappop(self._due)
            work()
        self.now = end

    def relist(self, *changed: api.Endpoint) -> None:
        """Every balancer is told of these changes, each at its own time within half a second."""
        self.entries |= {entry.name: entry for entry in changed}
        for number in range(len(self.balancers)):
            event = api.EndpointUpdate(api.EndpointUpdateKind.DELTA, list(changed))
            self.later(self.random.randrange(SECOND_US // 2), lambda n=number, e=event: self.dispatch(n, e))  # type: ignore[misc]

    def load(self, server: str) -> float:
        """What the server holds over what it can bear now."""
        started = self.entries[server].started_at_us
        age = (self.now - started) / self.settings.slow_start_duration_us if started > 0 else 1.0
        return self.held[server] / self.holds / min(1.0, max(self.settings.slow_start_initial_capacity, age))

    def arrive(self, delay: int, reconnecting: bool = False) -> None:
        """A client comes to a random balancer."""
        self.later(delay, lambda: self._request(reconnecting))

    def _request(self, reconnecting: bool) -> None:
        id = f"c{next(self._ids)}"
        self.waiting.add(id)
        request = api.Request(id, "web", 2 * SECOND_US, key=id, affinity_group=id, reconnecting=reconnecting)
        self.dispatch(self.random.choice(range(len(self.balancers))), request)

    def end(self, id: str) -> None:
        """An open connection is over, and its balancer is told."""
        number, server = self.where.pop(id)
        self.held[server] -= 1
        attempt = max(0, self.attempts[id] - 1)
        self.dispatch(
            number, api.AttemptEnded(id, attempt, server, api.AttemptOutcome.CANCELLED, closed=True)
        )

    def dispatch(self, number: int, event: api.Event) -> None:
        self.carry_out(number, self.balancers[number].handle(self.now, event))

    def carry_out(self, number: int, actions: list[api.Action]) -> None:
        def to_it(delay: int, event: Callable[[], api.Event]) -> None:
            self.later(delay, lambda: self.dispatch(number, event()))

        for action in actions:
            match action:
                case api.SetTimer(delay, token):
                    to_it(delay, lambda token=token: api.TimerFired(token))  # type: ignore[misc]
                case api.CheckHealth(server):
                    to_it(HOP, lambda server=server: self.probed(server))  # type: ignore[misc]
                case api.StartAttempt(id, server):
                    self.sends.append((self.now, server))
                    to_it(HOP, lambda id=id, server=server: self.sent(number, id, server))  # type: ignore[misc]
                case api.Reject(id):
                    self.later(SECOND_US, lambda id=id: self.waiting.discard(id))  # type: ignore[misc]
                    self.arrive(SECOND_US, reconnecting=True)
                case api.Migrate(id) if id in self.where:  # else its server has just ended it
                    self.end(id)
                    self.arrive(100_000 + self.random.randrange(SECOND_US), reconnecting=True)

    def probed(self, server: str) -> api.Event:
        # Reports are late: what is read is how it was.
        self.history[server].append((self.now, self.load(server)))
        old = [load for at, load in self.history[server] if at <= self.now - REPORT]
        return api.HealthCheckResult(
            server, api.AttemptOutcome.OK, HOP, {"load": old[-1] if old else self.history[server][0][1]}
        )

    def sent(self, number: int, id: str, server: str) -> api.Event:
        attempt = self.attempts[id]
        self.attempts[id] += 1
        self.held[server] += 1
        self.waiting.discard(id)
        self.where[id] = number, server
        return api.Established(id, attempt, server, HOP)

    def stand(self, each: int) -> None:
        """So many connections from before at each server, spread over the balancers."""
        for server in self.entries:
            for index in range(each):
                id, number = f"o{next(self._ids)}", index % len(self.balancers)
                self.held[server] += 1
                self.where[id] = number, server
                self.dispatch(number, api.ExistingConnection(id, "web", server, id))

    def most_within(self, server: str, window: int) -> int:
        """The most attempts that this server got within any window of this length."""
        times = [at for at, name in self.sends if name == server]
        return max((sum(at <= other < at + window for other in times) for at in times), default=0)
