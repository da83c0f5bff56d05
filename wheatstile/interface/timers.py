"""The timers that the decision module sets, and the purpose of each."""

from dataclasses import dataclass
from enum import StrEnum


class TimerKind(StrEnum):
    """The purpose of a timer."""

    EXPLORATION_SLOT = "exploration_slot"
    WATCH_ENDPOINTS = "watch_endpoints"
    LOAD_CHECK = "load_check"  # check a randomly drawn server
    REPEATED_LOAD_CHECK = "repeated_load_check"  # check the overloaded server of a connection again
    CANDIDATE_TIMEOUT = "candidate_timeout"  # decide on a waiting request
    REBALANCE = "rebalance"  # rebalance the server of a connection


@dataclass(slots=True)
class TimerToken:
    """Identifies a timer: SetTimer names it, and TimerFired returns it unchanged."""

    kind: TimerKind
    connection_id: str = ""  # empty for a timer of the whole balancer
    due_us: int = 0  # identifies the latest CANDIDATE_TIMEOUT of a request
