"""The timers that the decision module asks for, and what each is for."""

from dataclasses import dataclass
from enum import StrEnum


class TimerKind(StrEnum):
    """What the module does when a timer fires."""

    EXPLORATION_SLOT = "exploration_slot"
    WATCH_ENDPOINTS = "watch_endpoints"
    LOAD_CHECK = "load_check"  # of a drawn server, at the balancer's own interval
    REPEATED_LOAD_CHECK = "repeated_load_check"  # of one connection's server, which was overloaded
    CANDIDATE_TIMEOUT = "candidate_timeout"  # for one waiting request
    REBALANCE = "rebalance"  # of one connection's server


@dataclass(slots=True)
class TimerToken:
    """Identifies a timer: SetTimer names it, and TimerFired returns it unchanged."""

    kind: TimerKind
    connection_id: str = ""  # empty for a timer of the whole balancer
    due_us: int = 0  # for CANDIDATE_TIMEOUT: tells the request's last timer from earlier ones
