"""Requests a read index for each linearizable read, and returns the index once it is confirmed."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable

from wheatstile.store.errors import NotLeaderError
from wheatstile.store.raft.messages import Ready
from wheatstile.store.raft.node import RaftNode


class PendingReads:
    """Requests read indices from `node`. `schedule_flush` schedules the processing of the node's `Ready`."""

    def __init__(self, node: RaftNode, schedule_flush: Callable[[], None]) -> None:
        self._node = node
        self._schedule_flush = schedule_flush
        self._reads: dict[int, asyncio.Future[int]] = {}
        # A reply to a read from before a restart may still arrive, so identifiers must not be reused.
        self._request_ids = itertools.count(time.monotonic_ns())

    async def read_index(self) -> int:
        """Return the index that must be applied before a read that starts now may be answered.

        Raises `NotLeaderError` if no leader is known. Does not return without a quorum.
        """
        request_id = next(self._request_ids)
        read: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._reads[request_id] = read
        try:
            self._node.read(request_id)
            self._schedule_flush()
            return await read
        finally:
            del self._reads[request_id]
            self._node.cancel_read(request_id)

    def on_ready(self, ready: Ready) -> None:
        """Resolve the reads that `ready` confirms or rejects."""
        for read_state in ready.read_states:
            if read := self._find_pending(read_state.request_id):
                read.set_result(read_state.index)
        for request_id in ready.rejected_reads:
            if read := self._find_pending(request_id):
                read.set_exception(NotLeaderError(self._node.leader))

    def _find_pending(self, request_id: int) -> asyncio.Future[int] | None:
        """Return the read with this identifier, or None if its client has cancelled it."""
        read = self._reads.get(request_id)
        return None if read is None or read.done() else read
