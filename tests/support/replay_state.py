"""The state of a replay: the text of all actions so far, and the pending checks, attempts and timers."""

from dataclasses import dataclass

from support.balancer_harness import PendingTimer
from wheatstile import interface as api
from wheatstile.simulator.wire import format_timer


@dataclass
class Session:
    """One request, or the open connection that it became."""

    id: str
    key: str
    attempt: int = 0
    server: str = ""  # server of the attempt in flight or of the open connection; empty: none
    established: bool = False


class ReplayState:
    """Stores the actions of one instance as text, its sessions, pending health checks and timers."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.sessions: dict[str, Session] = {}
        self.migrated_keys: list[str] = []
        self.pending_checks: list[str] = []
        self._timers: list[PendingTimer] = []

    def record(self, now_us: int, actions: list[api.Action]) -> None:
        """Record the actions as text, and track the sessions, health checks and timers that they start."""
        for action in actions:
            self.lines.append(f"{now_us} {self._text(action)}")
            self._track(now_us, action)

    def pop_due_timers(self, now_us: int) -> list[PendingTimer]:
        """Remove and return the timers that are due, in the order of their due times."""
        due = sorted(timer for timer in self._timers if timer.due_us <= now_us)
        self._timers = [timer for timer in self._timers if timer.due_us > now_us]
        return due

    def attempting_sessions(self) -> list[Session]:
        """Return the sessions with an attempt in flight."""
        return [session for session in self.sessions.values() if session.server and not session.established]

    def established_sessions(self) -> list[Session]:
        """Return the open sessions."""
        return [session for session in self.sessions.values() if session.established]

    def _track(self, now_us: int, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                self.sessions[action.id].server = action.server
            case api.Reject() | api.Fail():
                self.sessions.pop(action.id)
            case api.Migrate():
                self.migrated_keys.append(self.sessions.pop(action.id).key)
            case api.CheckHealth():
                self.pending_checks.append(action.server)
            case api.SetTimer():
                due_us = now_us + action.delay_us
                self._timers.append(PendingTimer(due_us, len(self.lines), action.token))

    @staticmethod
    def _text(action: api.Action) -> str:
        parts: list[object]
        match action:
            case api.StartAttempt():
                parts = ["attempt", action.id, action.server, action.timeout_us]
            case api.Reject():
                parts = ["reject", action.id, action.retry_after_us]
            case api.Fail():
                parts = ["fail", action.id]
            case api.Migrate():
                parts = ["migrate", action.id]
            case api.CheckHealth():
                parts = ["check", action.server]
            case api.SetTimer():
                parts = ["timer", action.delay_us, format_timer(action.token)]
            case api.WatchEndpoints():
                parts = ["watch"]
        return " ".join(map(str, parts))
