"""Every decision of a wheatstile balancer. Its types, events and actions: wheatstile/interface.py.

FCD on the ordinary path: a newcomer goes to the better of two random servers by probed load over
capacity; in every other slot each connection explores a uniformly drawn server with probability gamma,
and in the slot after it the ratio rule says whether it goes back. docs/design.md tells the exceptions.
"""

from collections.abc import Callable
from dataclasses import replace
from math import inf, log
from random import Random
from zlib import crc32

from wheatstile import interface as api
from wheatstile.state import Connection, Move, Server
from wheatstile.weighted_table import WeightedLookupTable

MS, SECOND = 1000, 1_000_000
SLOT = 4 * SECOND  # long enough for a move to show in reports that are seconds late
BETA = 0.75  # the middle of the range for which the paper proves convergence
GAMMA_CAP = 0.01  # each move costs its client a gap and a set-up; at even loads most moves gain nothing
HOLD = 50 * MS  # a newcomer waits so long for its candidates' answers: several round trips
MARGIN = 8 * MS  # a final answer leaves so long before the client's time is out
SUSPECT, SUSPECT_MAX = SECOND, 8 * SECOND  # a server that failed is not drawn for so long, doubling
DRAWS = 100  # tries at a uniform draw before the whole list is looked through
WATCH_SPREAD, WATCH_MAX = 4 * SECOND, 8 * SECOND  # list calls: spread at the start, longest back-off
REACT = SECOND  # relief waits so long to see in late reports what the last one did
SETTLE = 2 * SECOND  # where reports alone tell, a connection that stands for less is not moved for relief
LOOK = SECOND  # where nothing tells of delays, a server is read so often; up to SLOT while none is full
X_BRIM = 0.8  # beyond this a single reading, with its noise, is enough to relieve a server
X_FULL = 0.7  # no server is wanted beyond this load: messages miss their aims from about here
CROSS_WEIGHT = 3.0  # load that a price of 1 for crossing zones outweighs, between two candidates
GATE = 0.7  # of the requests that find the fleet full on average are refused with no probe spent on them
UNREAD = 1e6  # the load of a server that did not say
USUAL, FRESH = 0.5, 4 * SECOND  # the load that a server counts as in the mean, not read for so long
COUNTS = ("inflight", "queue")  # report values whose size says nothing of a server's capacity
X_NAMES = ("load", "busy", "backlog_s", *COUNTS)  # what is read as X, the best first
LIFE = 60  # seconds: set-ups at a pace of 1 would renew all open connections in this time
# Of that; per second and connection, as failures are; per failure. An ended one's clients all come at once.
PACE_START, PACE_MAX, PACE_GAIN, PACE_CUT = 240.0, 480.0, 0.6, 0.7
PACE_LEAST = 27  # connections at each server, of which a balancer that has just started counts its part
RETRY_ADVICE = SECOND  # a refused client stays away about this long


def load_in(report: api.LoadReport) -> float | None:
    """X: load over capacity, or the nearest that the report holds. A count ranks servers but fills none."""
    name = next((name for name in X_NAMES if name in report), "")
    return X_FULL * report[name] / (report[name] + 100) if name in COUNTS else report.get(name)


def gamma_at(t: int) -> float:
    """The exploration probability of slot t."""
    return float(min(GAMMA_CAP, max(t, 1) ** -BETA))


def chance_to_return(x_i: float, x_j: float, n: int, gamma: float) -> float:
    """Proposition 1: how likely a connection that moved from load x_i to load x_j goes back."""
    if x_j >= x_i:
        return 1.0
    if n < 2 or x_j <= x_i * (1 - n * gamma / (n - 1)):
        return 0.0
    return 1 - (n - 1) / (n * gamma) * (1 - x_j / x_i)


class Balancer:
    """The decisions of one balancer, on what it alone is told."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.random = Random(seed)
        self.configure(settings)
        self.actions: list[api.Action] = []
        self.servers: dict[str, Server] = {}
        self.ready: list[Server] = []
        self.table = WeightedLookupTable([])
        self.connections: dict[str, Connection] = {}
        self.open: dict[Connection, None] = {}
        self.returns: dict[str, Move] = {}  # by client key: moved from here and not seen since
        self.mean: float | None = None  # mean_x, if it was asked for in this event
        self.pace, self.credits, self.credit_at, self.peak = PACE_START, 1.0, 0, 0.0
        self.closing = False
        self.clock, self.now, self.watch_delay, self.look_delay = 0, 0, SECOND, LOOK  # a clock of slots
        self.handlers: dict[type, Callable[..., None]] = {
            api.EndpointUpdate: self.on_list,
            api.Request: self.on_request,
            api.ExistingConnection: self.on_open,
            api.Established: self.on_established,
            api.AttemptEnded: self.on_ended,
            api.ClientDisconnected: self.drop,
            api.HealthCheckResult: self.on_probed,
            api.TimerFired: self.on_timer,
            api.MessageLatencyChanged: self.on_delay,
            api.ConnectionLoadChanged: self.on_load,
            api.ShutdownStarted: self.on_closing,
        }

    def configure(self, settings: api.Settings) -> None:
        """These settings count from the next event on; what start has set going keeps its ways."""
        self.settings = settings
        self.health_checks_enabled = settings.health_checks_enabled and bool(settings.load_metrics)

    def start(self, now: int) -> list[api.Action]:
        """Call once, before any event: sets the slots' phase and asks for the list where need be."""
        self.now = self.credit_at = now
        self.actions = [api.SetTimer(1 + int(self.random.random() * SLOT), "slot")]
        if self.health_checks_enabled and not self.settings.reports_message_latency:
            self.actions.append(api.SetTimer(1 + int(self.random.random() * LOOK), "look"))
        if self.settings.poll_endpoints:
            spread = min(WATCH_SPREAD, self.settings.poll_interval_us * 3 // 4)
            self.actions.append(api.SetTimer(1 + int(self.random.random() * spread), "list"))
        return self.actions

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event at this time and say what to do. What is no longer held is passed over."""
        self.now, self.actions, self.mean = now, [], None
        if type(event) in self.handlers:
            self.handlers[type(event)](event)
        return self.actions

    def on_list(self, event: api.EndpointUpdate) -> None:
        """Follow the list. A failed call is repeated with a jittered back-off; the old list stands."""
        if event.kind == "failed":
            delay = int(self.watch_delay * (0.5 + self.random.random()))
            self.watch_delay = min(2 * self.watch_delay, WATCH_MAX, 2 * self.settings.poll_interval_us)
            return self.actions.append(api.SetTimer(delay, "list"))
        self.watch_delay, self.look_delay = SECOND, LOOK  # the clients of a server that leaves come elsewhere
        if event.kind == "moved":  # what failed elsewhere says nothing of this place: it is asked at once
            return self.actions.append(api.WatchEndpoints())
        for entry in event.endpoints:
            server = self.servers.get(entry.name)
            if server is None:
                server = self.servers[entry.name] = Server(entry, crc32(entry.name.encode()))
            if server.tokens_at == 0 or server.endpoint.started_at_us != entry.started_at_us:
                # What it was sent before says nothing of a new process, and what it was sent since is owed.
                owed = server.sent_at >= entry.started_at_us
                server.tokens, server.tokens_at, server.x = self.random.random() - owed, self.now, None
                server.chance_until = (
                    server.sent_at + self.settings.slow_start_overload_window_us if owed else 0
                )
            server.endpoint = entry
        if event.kind != "delta":
            for name in self.servers.keys() - {entry.name for entry in event.endpoints}:
                self.servers[name].endpoint = replace(
                    self.servers[name].endpoint, state=api.EndpointState.GONE
                )
        self.ready = [
            server
            for _, server in sorted(self.servers.items())
            if server.endpoint.state == api.EndpointState.READY
        ]
        self.table = WeightedLookupTable(self.ready)

    def cold_room(self, server: Server, repeat: bool) -> bool:
        """Rule 4: whether a cold server may be sent one more, within this balancer's part of its budget.

        Clients here, the one that asks among them, spread over the servers, make the mean load: all parts, in
        waves too, are what fills one server to X_FULL. A repeat needs twice its part. A part of less than one
        request is the chance to send one. It is drawn once in a window, however often the server is met.
        """
        age = self.now - server.endpoint.started_at_us
        if server.endpoint.started_at_us <= 0 or age >= self.settings.slow_start_duration_us:
            return True
        warmth = max(self.settings.slow_start_initial_capacity, age / self.settings.slow_start_duration_us)
        holds = X_FULL * len(self.connections) / len(self.ready) / max(self.mean_x, 0.2) * warmth
        rate = (
            holds
            * self.settings.slow_start_overload_factor
            / max(SECOND, self.settings.slow_start_overload_window_us)
        )
        gain, part = (self.now - server.tokens_at) * rate, self.settings.slow_start_overload_window_us * rate
        server.tokens, server.tokens_at = min(part, server.tokens + gain), self.now
        if part >= 1:
            return server.tokens >= 1 + repeat
        if self.now >= server.chance_until:
            server.chance, server.chance_until = (
                self.random.random(),
                self.now + self.settings.slow_start_overload_window_us,
            )
        return server.chance * (1 + repeat) < part

    def fit(self, server: Server, conn: Connection | None) -> bool:
        """Whether a connection may go here; rule 2: once it may have run, where repeats are discarded."""
        if server.endpoint.state != api.EndpointState.READY or not self.cold_room(
            server, bool(conn and conn.attempts)
        ):
            return False
        if not conn or not conn.ran or conn.kind.idempotency == api.Idempotency.IDEMPOTENT:
            return True
        at, was, here, kind = conn.ran[0], conn.ran[1].endpoint, server.endpoint, conn.kind
        same = {
            api.DeduplicationScope.ALL: True,
            api.DeduplicationScope.ZONE: was.zone == here.zone,
            api.DeduplicationScope.CELL: was.cell == here.cell,
        }
        return (
            kind.idempotency == api.Idempotency.IDEMPOTENCY_KEY
            and self.now - at < kind.deduplication_window_us
            and same.get(kind.deduplication_scope, False)
        )

    def draw(self, conn: Connection | None, other: Server | None = None, near: bool = False) -> Server | None:
        """A server drawn by weight that is fit and not the other one; a suspected one if no other is left.

        A key is hashed into a table that holds each server once: every balancer draws the same pair for it,
        and packets that land mid-flow find their server. A client that comes again wants another pair.
        """
        spot = conn.spot if conn and conn.spot else self.random.getrandbits(31)  # then a plain congruence
        for server in self.table.walk(spot, DRAWS, lambda it: it is other or it.suspect_until > self.now):
            if (not near or server.endpoint.zone == self.settings.zone) and self.fit(server, conn):
                return server
        fit = [s for s in self.ready if s is not other and self.fit(s, conn)]
        fit = [s for s in fit if s.suspect_until <= self.now] or fit
        if self.table.has_equal_weights or not fit:
            return self.random.choice(fit) if fit else None
        return self.random.choices(fit, [server.endpoint.weight for server in fit])[0]

    def hear(self, event: api.Request | api.ExistingConnection, deadline: int, again: bool) -> Connection:
        kind = self.settings.classes.get(event.service_class) or next(iter(self.settings.classes.values()))
        return self.connections.setdefault(event.id, Connection(event.id, event.key, kind, deadline, again))

    def on_request(self, event: api.Request) -> None:
        """A client asks for a connection: held until two random servers have answered a probe."""
        if event.id in self.connections:
            return
        # Mid-flow packets often miss their server: while set-ups fail, a thousand misses fed a storm.
        again = event.reconnecting or (event.midflow and self.pace < PACE_START)
        conn = self.hear(event, self.now + event.expires_in_us - MARGIN, again)
        # Every server that holds any of a group pays for it: a group that draws one pair stays on two.
        alike = event.affinity_group or ("" if event.reconnecting else event.key)
        conn.spot = crc32(alike.encode()) if alike else 0
        move = self.returns.pop(event.key, None) if event.key and not self.closing else None
        if move and move.until > self.now:
            target = move.origin if move.back else move.target
            if target.suspect_until <= self.now and self.fit(target, conn):
                conn.left = None if move.back else move
                return self.send(conn, target)
        holder = (
            self.draw(conn, near=self.settings.cross_zone_cost > 0) if event.midflow and not again else None
        )
        if holder and not self.closing:  # the likelier of the pair; elsewhere it would be set up anew
            self.send(conn, holder)
        elif self.closing or (self.mean_x > X_FULL and self.random.random() < GATE):
            self.answer(conn)
        else:
            self.place_anew(conn)

    @property
    def mean_x(self) -> float:
        """The mean load. Servers count once, old readings do not: who refuses by them reads no others."""
        if self.mean is None:
            heard = [s for s in self.ready if s.x is None or s.x < UNREAD]
            loads = [min(s.x, 1.0) if s.x is not None and self.now - s.x_at < FRESH else USUAL for s in heard]
            self.mean = sum(loads) / len(loads) if loads else USUAL
        return self.mean

    def credit(self) -> bool:
        """Spend one set-up of this balancer's pace: errors slow it down, time without them speeds it up.

        Set-ups may share a store that a wave of them keeps from answering any in time, wave after wave.
        """
        passed, self.credit_at = (self.now - self.credit_at) / SECOND, self.now
        self.peak = max(self.peak * (1 - 0.01 * min(passed, 1.0)), len(self.open))
        size = max(self.peak, PACE_LEAST * len(self.ready) / self.settings.fleet_size)
        self.pace = min(PACE_MAX, self.pace + PACE_GAIN * size * passed)
        rate = self.pace * size / LIFE
        self.credits = min(self.credits + rate * passed, max(1.0, rate / 2))
        spent = self.credits >= 1
        self.credits -= spent
        return spent

    def place_anew(self, conn: Connection) -> None:
        """Draw two candidates and ask both for their load. A repeated set-up first waits for its turn."""
        window = {
            api.Idempotency.IDEMPOTENT: inf,
            api.Idempotency.IDEMPOTENCY_KEY: conn.kind.deduplication_window_us,
        }.get(conn.kind.idempotency, 0)
        if conn.ran and self.now - conn.ran[0] >= window:  # nobody would discard a repeat: no use in waiting
            return self.answer(conn)
        if conn.again and not self.credit():
            return self.hold(conn, int(HOLD * (1 + 3 * self.random.random())))
        conn.again = False
        first = self.draw(conn, near=self.settings.cross_zone_cost > 0)
        second = self.draw(conn, first) if first else None
        conn.pair, conn.pairs = [server for server in (first, second) if server], conn.pairs + 1
        conn.spot = crc32(b"next", conn.spot) if conn.spot else 0  # a group's next pair is one everywhere too
        for server in conn.pair:
            self.ask(server, self.choose, conn)
        if not conn.out:
            self.hold(conn, HOLD)

    def hold(self, conn: Connection, delay: int) -> None:
        """Wait with it; only its last timer counts, else each would start a chain of draws of its own."""
        conn.due = self.now + max(1, min(delay, conn.deadline - self.now))
        self.actions.append(api.SetTimer(conn.due - self.now, f"hold:{conn.due}:{conn.id}"))

    def choose(self, conn: Connection, expired: bool = False) -> None:
        """Send a held request to the less loaded candidate once both have answered, or time is up."""
        held = conn.id in self.connections and not conn.out and conn not in self.open
        if not held or (not expired and any(s.probing for s in conn.pair)):
            return
        fit = [s for s in conn.pair if not s.probing and self.load(s) < UNREAD and self.fit(s, conn)]
        fit = [s for s in fit if s.suspect_until <= self.now] or fit  # suspects if no other is left
        price, home = CROSS_WEIGHT * self.settings.cross_zone_cost, self.settings.zone  # for all of its life
        best = min(fit, key=lambda s: self.load(s) + price * (s.endpoint.zone != home), default=None)
        if best and self.load(best) < X_FULL:
            self.send(conn, best)
        elif self.now >= conn.deadline or (best and self.mean_x >= X_FULL):
            self.answer(conn)
        elif expired:  # the fleet has room though this pair has not: another pair
            self.place_anew(conn)
        elif best:  # reports are late: asked again at once, the servers say what they said
            self.hold(conn, HOLD << conn.pairs >> 1)

    def send(self, conn: Connection, server: Server) -> None:
        """One attempt. Its time-out is half of the time left, to try again in, or the aim if that is more."""
        left = conn.deadline - self.now
        if left <= 0:
            return self.answer(conn)
        conn.server, conn.out, conn.pair, conn.attempts = server, True, [], conn.attempts + 1
        server.tokens -= 1.0
        server.chance, server.sent_at = 1.0, self.now
        limit = left // 2 if conn.attempts < self.settings.max_attempts else left
        self.actions.append(
            api.StartAttempt(
                conn.id, server.endpoint.name, max(limit, min(conn.kind.latency_objective_us, left))
            )
        )

    def answer(self, conn: Connection) -> None:
        """Rules 1 and 2: the final answer, a refusal where coming again is harmless."""
        kind = self.connections.pop(conn.id).kind
        discarded = (
            kind.idempotency == api.Idempotency.IDEMPOTENCY_KEY
            and kind.deduplication_scope == api.DeduplicationScope.ALL
        )
        if discarded or kind.idempotency == api.Idempotency.IDEMPOTENT or not (conn.ran or conn.out):
            advice = (
                int(RETRY_ADVICE * (0.5 + self.random.random())) if self.settings.retry_after_enabled else 0
            )
            self.actions.append(api.Reject(conn.id, min(advice, self.settings.max_retry_after_us)))
        else:
            self.actions.append(api.Fail(conn.id))

    def on_open(self, event: api.ExistingConnection) -> None:
        if event.server in self.servers:
            conn = self.hear(event, 0, False)
            conn.server, conn.attempts, conn.out, self.open[conn] = self.servers[event.server], 1, False, None

    def on_established(self, event: api.Established) -> None:
        conn = self.connections.get(event.id)
        if conn and conn.out and conn.server:
            conn.server.failures = 0
            conn.out, self.open[conn], conn.since = False, None, self.now

    def on_closing(self, _: api.ShutdownStarted) -> None:
        """Answer whatever is owed an answer, and from now on whatever comes."""
        self.closing = True
        for conn in [conn for conn in self.connections.values() if conn not in self.open]:
            self.answer(conn)

    def drop(self, over: Connection | api.ClientDisconnected) -> None:
        """Forget a connection that is over, or whose client has left."""
        if conn := self.connections.pop(over.id, None):
            self.open.pop(conn, None)

    def on_ended(self, event: api.AttemptEnded) -> None:
        """An attempt or a connection has ended: another attempt, the final answer, or the way back."""
        conn = self.connections.get(event.id)
        if conn is None or conn.attempts != event.attempt + 1 or not (conn.out or conn in self.open):
            return
        server, move = conn.server, conn.left
        if event.report and server:
            server.x, server.x_at = load_in(event.report), self.now
        lost = event.outcome not in ("ok", "cancelled", "not_sent")
        if lost and server and conn not in self.open:
            self.suspect(server)
            if event.outcome in ("error", "timeout"):
                self.pace = max(1.0, self.pace * PACE_CUT)
        if conn in self.open or event.closed or event.outcome == "ok":
            if move and lost and conn.key:  # a drop after a move reads as a load above X_i: go back
                move.back = True
                self.returns[conn.key] = move
            self.drop(conn)
            return
        conn.out, conn.left, conn.again = False, None, True
        if server and not conn.ran and event.outcome not in ("overloaded", "connect_failed", "not_sent"):
            conn.ran = self.now - event.elapsed_us, server
        if conn.attempts >= self.settings.max_attempts or self.now >= conn.deadline:
            self.answer(conn)
        elif move and move.origin.suspect_until <= self.now and self.fit(move.origin, conn):
            self.send(conn, move.origin)
        else:
            self.place_anew(conn)

    def ask(self, server: Server, then: Callable[[Connection], None], conn: Connection) -> None:
        """Probe a server, or join the probe that is under way; then is called once it is over."""
        if not self.health_checks_enabled:
            return then(conn)
        server.waiting.append((then, conn))
        if not server.probing:
            server.probing = True
            self.actions.append(api.CheckHealth(server.endpoint.name))

    def suspect(self, server: Server) -> None:
        """A server that failed is left alone for a while, longer each time it fails again."""
        server.suspect_until = self.now + min(SUSPECT << min(server.failures, 4), SUSPECT_MAX)
        server.failures += 1

    def on_probed(self, event: api.HealthCheckResult) -> None:
        server = self.servers.get(event.server)
        if server is None or not server.probing:
            return
        waiting, server.waiting, server.probing = server.waiting, [], False
        if event.outcome == "ok":
            server.x, server.x_at = load_in(event.report or {}), self.now
        elif event.outcome != "not_sent":  # many balancers asking at once fill a healthy server: twice counts
            first = event.outcome == "overloaded" and server.x not in (None, UNREAD) and not server.least_x
            # One that answers with an error stands and serves whom it holds: nobody is moved for it.
            server.x = None if first or event.outcome == "error" else UNREAD
            self.suspect(server)
        for then, conn in waiting:
            then(conn)
        full = (
            event.outcome == "ok" and self.load(server) > X_BRIM and not self.settings.reports_message_latency
        )
        if full and (held := self.held_at(server)):
            self.looked(held[0])  # whatever it was read for: between two looks a server fills in seconds

    def on_delay(self, event: api.MessageLatencyChanged) -> None:
        """Messages take longer than wanted at a server: read its load now, at most once a REACT."""
        conn = self.connections.get(event.id)
        if not (conn and conn in self.open and conn.server):
            return
        server, late = conn.server, event.latency_ms * MS > conn.kind.message_latency_objective_us > 0
        server.least_x, server.delay = float(event.latency_ms > server.delay), event.latency_ms
        if late and server.relief_at <= self.now:
            server.relief_at = self.now + REACT
            # All balancers are told in the same instant: asking at once they would fill the server.
            self.actions.append(api.SetTimer(1 + int(self.random.random() * REACT / 2), "relief::" + conn.id))

    def on_load(self, event: api.ConnectionLoadChanged) -> None:
        if event.id in self.connections:
            self.connections[event.id].load = event.load

    def look(self) -> None:
        """Read a server, drawn by what its connections here ask of it, in place of delay notes."""
        self.actions.append(api.SetTimer(self.look_delay, "look"))
        self.look_delay = min(self.look_delay * 3 // 2, SLOT)
        if self.open:
            conn = self.random.choices(list(self.open), [1.0 + conn.load for conn in self.open])[0]
            self.ask(conn.server, self.looked, conn) if conn.server else None

    def looked(self, conn: Connection) -> None:
        """Relieve a server that was read as full while the fleet has room, and look again until it is not.

        One that did not answer may only stand still for a moment: it is asked again before all is moved.
        """
        server = conn.server
        if not server or self.mean_x >= X_FULL or server.relief_at > self.now or self.load(server) <= X_FULL:
            return
        server.relief_at, self.look_delay = self.now + REACT, LOOK
        if self.load(server) >= UNREAD:
            self.actions.append(api.SetTimer(REACT // 2, "relief::" + conn.id))
        else:
            self.relieve(conn)
            if self.load(server) > X_BRIM and (held := self.held_at(server)):  # drawn looks come here seldom
                self.actions.append(api.SetTimer(REACT, "look::" + held[0].id))

    def held_at(self, server: Server | None) -> list[Connection]:
        return [conn for conn in self.open if conn.server is server]

    def relieve(self, conn: Connection) -> None:
        """Move the share of its connections that is too much for a server, all if it is unread."""
        x = max(self.load(conn.server), conn.server.least_x) if conn.server else 0.0
        for held in self.held_at(conn.server):
            # A wave of set-ups is work that is soon over, and in a report it looks like load.
            settled = self.settings.reports_message_latency or self.now - held.since >= SETTLE
            if settled and self.random.random() * x < x - X_FULL:
                self.leave(held)

    def load(self, server: Server) -> float:
        """X as last read; what a report does not tell is unknown, neither idle nor full."""
        return self.mean_x if server.x is None else server.x

    def on_timer(self, event: api.TimerFired) -> None:
        task, due, held = [*event.token.split(":", 2), "", ""][:3]  # an id may hold a colon
        conn = self.connections.get(held)
        if task == "slot":
            self.slot()
        elif task == "look" and not held:
            self.look()
        elif task == "list":
            self.actions.append(api.WatchEndpoints())
        elif conn and task == "hold":
            self.choose(conn, expired=True) if due == str(conn.due) else None
        elif conn and conn in self.open and conn.server:
            self.ask(conn.server, self.looked if task == "look" else self.relieve, conn)

    def slot(self) -> None:
        """Odd slots explore, even ones compare."""
        self.actions.append(api.SetTimer(SLOT, "slot"))
        self.clock += 1
        self.returns = {key: move for key, move in self.returns.items() if move.until > self.now}
        if not self.health_checks_enabled or len(self.ready) < 2:
            return
        skip = log(1 - gamma_at(self.clock))
        index = int(log(1 - self.random.random()) / skip)
        for place, conn in enumerate(self.open):
            if self.clock % 2 == 0 and conn.left and conn.server:
                self.ask(conn.server, self.compare, conn)
            elif self.clock % 2 and place == index and conn.server:
                index += 1 + int(log(1 - self.random.random()) / skip)  # not a draw for each connection
                self.ask(conn.server, self.explore, conn)

    def explore(self, conn: Connection) -> None:
        """Move to a uniformly drawn other server, now that X_i has been read."""
        target = self.draw(None, conn.server)
        if conn in self.open and conn.server and target:
            self.leave(conn, Move(conn.server, target, self.load(conn.server), gamma_at(self.clock)))

    def leave(self, conn: Connection, move: Move | None = None) -> None:
        """Close a connection politely, and know its client again should it come back here."""
        if move and conn.key:
            move.until, self.returns[conn.key] = self.now + 2 * SLOT, move
        self.actions.append(api.Migrate(conn.id))
        self.drop(conn)

    def compare(self, conn: Connection) -> None:
        """The ratio rule, one slot after the move."""
        move, conn.left = conn.left, None
        if not move or not conn.server or conn not in self.open or move.origin.suspect_until > self.now:
            return
        back = chance_to_return(move.x_i, self.load(conn.server), len(self.ready), move.gamma)
        if move.origin.endpoint.state == api.EndpointState.READY and self.random.random() < back:
            move.back = True
            self.leave(conn, move)
