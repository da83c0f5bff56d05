"""Ticks of a Raft node by the monotonic clock, which runs on while the process is stopped."""

from __future__ import annotations

import time

import structlog

from wheatstile.store.raft.node import RaftNode

log = structlog.get_logger()

TICK_S = 0.05
"""Length of a tick: an election time-out is 0.5 to 1 s, a heartbeat goes every 0.1 s."""
TICK_MS = int(TICK_S * 1000)
MAX_CATCH_UP_TICKS = 100
"""Ticks made up for after a pause; a leader steps down within them, a follower starts an election."""


def now_ticks() -> int:
    """Return the monotonic clock in ticks."""
    return int(time.monotonic() / TICK_S)


def catch_up(node: RaftNode) -> None:
    """Let the ticks pass that are due, at most `MAX_CATCH_UP_TICKS`; older ones are skipped."""
    now = now_ticks()
    missed_ticks = now - node.ticks
    if missed_ticks > MAX_CATCH_UP_TICKS:
        log.warning("store_process_paused", paused_s=round(missed_ticks * TICK_S, 2))
        node.skip_ticks(missed_ticks - MAX_CATCH_UP_TICKS)
    while node.ticks < now:
        node.tick()
