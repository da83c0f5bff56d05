"""A harness for one decision module, with a clock, timers, and servers that answer health checks."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import count
from typing import TypeVar

from wheatstile import Balancer
from wheatstile import interface as api
from wheatstile.decisions.server import Server

SECOND_US = 1_000_000
START_US = 1000 * SECOND_US
SERVICE_CLASS = "web"
ActionT = TypeVar("ActionT")


def settings(**changes: object) -> api.Settings:
    """Return the settings of one zone with one idempotent class, with these changes."""
    service_class = api.ServiceClass(SERVICE_CLASS, 500_000, message_latency_objective_us=50_000)
    values: dict[str, object] = {
        "fleet_size": 4,
        "zone": "here",
        "classes": {SERVICE_CLASS: service_class},
        "max_attempts": 3,
        "slow_start_initial_capacity": 0.2,
        "slow_start_duration_us": 20 * SECOND_US,
        "slow_start_overload_factor": 3.0,
        "load_metrics": ("load",),
        "retry_after_enabled": True,
        "max_retry_after_us": 1_500_000,
    }
    return api.Settings(**(values | changes))  # type: ignore[arg-type]


def endpoints(*names: str, **changes: object) -> list[api.Endpoint]:
    """Return ready endpoints of the balancer's zone, with these changes."""
    return [api.Endpoint(name, api.EndpointState.READY, "here", **changes) for name in names]  # type: ignore[arg-type]


def of_type(actions: Iterable[api.Action], kind: type[ActionT]) -> list[ActionT]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


@dataclass(frozen=True, order=True)
class PendingTimer:
    """A timer that has not fired; ordered by its due time."""

    due_us: int
    number: int
    token: api.TimerToken = field(compare=False)


class BalancerHarness:
    """One balancer and its clock. Health checks report `loads`, or time out for `unresponsive` servers."""

    def __init__(self, *names: str, loads: dict[str, float] | None = None, seed: int = 1, **changes: object):
        self.now_us = START_US
        self.loads = loads or dict.fromkeys(names, 0.4)
        self.unresponsive: set[str] = set()
        self.actions: list[api.Action] = []  # all actions so far
        self.pending_checks: list[str] = []  # servers whose health checks are not answered yet
        self.timers: list[PendingTimer] = []
        self._timer_numbers = count()
        self.balancer = Balancer(settings(**changes), seed)
        self._record(self.balancer.start(self.now_us))
        self.update_endpoints(*endpoints(*names), kind=api.EndpointUpdateKind.CACHED)

    def _record(self, actions: list[api.Action]) -> list[api.Action]:
        for action in actions:
            if isinstance(action, api.CheckHealth):
                self.pending_checks.append(action.server)
            elif isinstance(action, api.SetTimer):
                assert action.delay_us > 0
                due_us = self.now_us + action.delay_us
                self.timers.append(PendingTimer(due_us, next(self._timer_numbers), action.token))
        self.actions += actions
        return actions

    def dispatch(self, event: api.Event) -> list[api.Action]:
        """Handle one event. Health checks that it causes stay pending."""
        return self._record(self.balancer.handle(self.now_us, event))

    def update_endpoints(
        self, *changed: api.Endpoint, kind: api.EndpointUpdateKind = api.EndpointUpdateKind.DELTA
    ) -> list[api.Action]:
        """Handle an update of the endpoint list."""
        return self.dispatch(api.EndpointUpdate(kind, list(changed)))

    def answer_check(
        self, server: str, outcome: api.AttemptOutcome = api.AttemptOutcome.OK, **report: float
    ) -> list[api.Action]:
        """Handle the result of one health check."""
        return self.dispatch(api.HealthCheckResult(server, outcome, 1000, report))

    def answer_checks(self) -> list[api.Action]:
        """Answer every pending health check, including those that the answers cause."""
        answers: list[api.Action] = []
        while self.pending_checks:
            name = self.pending_checks.pop(0)
            if name in self.unresponsive:
                answers += self.answer_check(name, api.AttemptOutcome.TIMEOUT)
            else:
                answers += self.answer_check(name, load=self.loads[name])
        return answers

    def run(self, duration_us: int) -> list[api.Action]:
        """Advance the time by this duration, fire the timers that are due, and answer the health checks."""
        end_us = self.now_us + duration_us
        answers: list[api.Action] = []
        while any(timer.due_us <= end_us for timer in self.timers):
            answers += self.run_to_next_timer()
            answers += self.answer_checks()
        self.now_us = end_us
        return answers

    def run_to_next_timer(self) -> list[api.Action]:
        """Fire the next timer. Health checks that it causes stay pending."""
        timer = min(self.timers)
        self.now_us = max(self.now_us, timer.due_us)
        return self.fire(timer)

    def fire(self, timer: PendingTimer) -> list[api.Action]:
        """Fire this timer now."""
        self.timers.remove(timer)
        return self.dispatch(api.TimerFired(timer.token))

    def run_to_check_of(self, server: str) -> None:
        """Fire timers until a health check of this server is pending. Remove it, and answer all others."""
        while server not in self.pending_checks:
            self.run_to_next_timer()
            for name in [name for name in self.pending_checks if name != server]:
                self.pending_checks.remove(name)
                self.answer_check(name, load=self.loads[name])
        self.pending_checks.remove(server)

    def request(self, id: str, expires_in_us: int = 2 * SECOND_US, **changes: object) -> list[api.Action]:
        """Handle a client's request, and answer the health checks of its candidates at once."""
        event = api.Request(id, SERVICE_CLASS, expires_in_us, **changes)  # type: ignore[arg-type]
        return self.dispatch(event) + self.answer_checks()

    def connect(self, id: str, server: str, key: str = "") -> None:
        """Add a connection that was open at this server before the balancer started."""
        self.dispatch(api.ExistingConnection(id, SERVICE_CLASS, server, key))

    def connect_many(self, number: int, server: str) -> None:
        """Add the existing connections c0, c1 and so on at this server."""
        for index in range(number):
            self.connect(f"c{index}", server)

    def establish(self, id: str, attempt: int = 0) -> str:
        """Report that a request's latest attempt has succeeded. Return its server."""
        server = [sent.server for sent in self.attempts if sent.id == id][-1]
        self.dispatch(api.Established(id, attempt, server, 1000))
        return server

    def end_attempt(
        self, id: str, outcome: api.AttemptOutcome, attempt: int = 0, elapsed_us: int = 1000
    ) -> list[api.Action]:
        """Report that a request's latest attempt has ended with this outcome."""
        server = [sent.server for sent in self.attempts if sent.id == id][-1]
        return self.dispatch(api.AttemptEnded(id, attempt, server, outcome, elapsed_us))

    def report_latency(self, id: str, server: str, latency_ms: float) -> list[api.Action]:
        """Report the message latency of one connection."""
        return self.dispatch(api.MessageLatencyChanged(id, server, latency_ms))

    @property
    def attempts(self) -> list[api.StartAttempt]:
        """All attempts so far."""
        return of_type(self.actions, api.StartAttempt)

    @property
    def attempted_servers(self) -> list[str]:
        """The servers of all attempts so far, in order."""
        return [attempt.server for attempt in self.attempts]

    def final_answers(self, id: str) -> list[api.Reject | api.Fail]:
        """Return the final answers to a request."""
        answers: list[api.Reject | api.Fail] = []
        answers += of_type(self.actions, api.Reject)
        answers += of_type(self.actions, api.Fail)
        return [answer for answer in answers if answer.id == id]

    def server(self, name: str) -> Server:
        """Return the module's record of a server."""
        return self.balancer.endpoints.servers[name]
