"""Advances a Raft node's ticks by the monotonic clock, which also runs while the process is paused."""

from __future__ import annotations

import time

import structlog

from wheatstile.store.raft.node import RaftNode

log = structlog.get_logger()

TICK_S = 0.05
"""Length of a tick. With the defaults of `Timing`, election timeouts are 0.5 to 1 s, and heartbeats are sent
every 0.1 s.
"""
TICK_MS = int(TICK_S * 1000)
MAX_CATCH_UP_TICKS = 100
"""Maximum number of missed ticks that are processed after a pause; more than any election timeout."""


def now_ticks() -> int:
    """Return the time of the monotonic clock in ticks."""
    return int(time.monotonic() / TICK_S)


def catch_up(node: RaftNode) -> None:
    """Advance the node to the current tick; skip all but the last `MAX_CATCH_UP_TICKS` missed ticks."""
    now = now_ticks()
    missed_ticks = now - node.ticks
    if missed_ticks > MAX_CATCH_UP_TICKS:
        log.warning("store_process_paused", paused_s=round(missed_ticks * TICK_S, 2))
        node.skip_ticks(missed_ticks - MAX_CATCH_UP_TICKS)
    while node.ticks < now:
        node.tick()
