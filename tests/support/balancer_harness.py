"""One instance of the decision module with a clock, timers, and servers that answer health checks."""

from collections.abc import Iterable
from itertools import count
from typing import TypeVar

from wheatstile import Balancer
from wheatstile import interface as api

SECOND_US = 1_000_000
A = TypeVar("A")


def settings(**changes: object) -> api.Settings:
    """A site of one zone with one safe class; whatever differs is named."""
    values: dict[str, object] = {
        "fleet_size": 4,
        "zone": "here",
        "classes": {"web": api.ServiceClass("web", 500_000, message_latency_objective_us=50_000)},
        "max_attempts": 3,
        "slow_start_initial_capacity": 0.2,
        "slow_start_duration_us": 20 * SECOND_US,
        "slow_start_overload_factor": 3.0,
        "load_metrics": ("load",),
        "retry_after_enabled": True,
        "max_retry_after_us": 1_500_000,
    }
    return api.Settings(**(values | changes))  # type: ignore[arg-type]


def entries(*names: str, **changes: object) -> list[api.Endpoint]:
    return [api.Endpoint(name, api.EndpointState.READY, "here", **changes) for name in names]  # type: ignore[arg-type]


def of_type(actions: Iterable[api.Action], kind: type[A]) -> list[A]:
    return [action for action in actions if isinstance(action, kind)]


class BalancerHarness:
    """One balancer, its clock, and servers that answer health checks with the loads given here."""

    def __init__(self, *names: str, loads: dict[str, float] | None = None, seed: int = 1, **changes: object):
        self.now = 1000 * SECOND_US
        self.loads = loads or dict.fromkeys(names, 0.4)
        self.silent: set[str] = set()
        self.log: list[api.Action] = []
        self.probes: list[str] = []
        self.timers: list[tuple[int, int, api.TimerToken]] = []
        self._timer_numbers = count()
        self.balancer = Balancer(settings(**changes), seed)
        self.take(self.balancer.start(self.now))
        self.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.CACHED, entries(*names)))

    def take(self, actions: list[api.Action]) -> list[api.Action]:
        for action in actions:
            if isinstance(action, api.CheckHealth):
                self.probes.append(action.server)
            elif isinstance(action, api.SetTimer):
                assert action.delay_us > 0
                self.timers.append((self.now + action.delay_us, next(self._timer_numbers), action.token))
        self.log += actions
        return actions

    def dispatch(self, event: api.Event) -> list[api.Action]:
        """One event, and no answers yet."""
        return self.take(self.balancer.handle(self.now, event))

    def answer_checks(self) -> list[api.Action]:
        """Answer every probe that is out; silent servers' probes fail."""
        answers: list[api.Action] = []
        while self.probes:
            name = self.probes.pop(0)
            if name in self.silent:
                answers += self.dispatch(api.HealthCheckResult(name, api.AttemptOutcome.TIMEOUT))
            else:
                answers += self.dispatch(
                    api.HealthCheckResult(name, api.AttemptOutcome.OK, 1000, {"load": self.loads[name]})
                )
        return answers

    def run(self, length: int) -> list[api.Action]:
        """Let time pass, timers fire and probes be answered."""
        end, answers = self.now + length, []
        while True:
            due = [timer for timer in self.timers if timer[0] <= end]
            if not due:
                break
            timer = min(due)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            answers += self.dispatch(api.TimerFired(timer[2]))
            answers += self.answer_checks()
        self.now = end
        return answers

    def run_to_next_timer(self) -> list[api.Action]:
        """Let the next timer fire, and leave its probes unanswered."""
        timer = min(self.timers)
        self.timers.remove(timer)
        self.now = max(self.now, timer[0])
        return self.dispatch(api.TimerFired(timer[2]))

    def request(self, id: str, expires_in_us: int = 2 * SECOND_US, **changes: object) -> list[api.Action]:
        """A client's request, with its candidates' probes answered at once."""
        event = api.Request(id, "web", expires_in_us, **changes)  # type: ignore[arg-type]
        return self.dispatch(event) + self.answer_checks()

    def connect(self, id: str, server: str, key: str = "") -> None:
        """A connection that stands at this server, as one open from before."""
        self.dispatch(api.ExistingConnection(id, "web", server, key))

    def establish(self, id: str, attempt: int = 0) -> str:
        """Accept the request's last attempt; the server that it went to."""
        server = [send.server for send in of_type(self.log, api.StartAttempt) if send.id == id][-1]
        self.dispatch(api.Established(id, attempt, server, 1000))
        return server
