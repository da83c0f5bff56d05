"""Commands on their way into the log: queued for group commit, then waiting to be applied."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from wheatstile.store.commands import Command, CommandResult
from wheatstile.store.errors import NotLeaderError, OutcomeUnknownError
from wheatstile.store.raft.messages import Entry
from wheatstile.store.raft.node import RaftNode

MAX_GROUP_COMMANDS = 512
"""Queued commands that are proposed at once, although earlier ones are not committed yet."""
MAX_GROUP_WAIT_S = 0.005
"""Time after which a queued command is proposed, although earlier ones are not committed yet."""


@dataclass(frozen=True, slots=True)
class QueuedCommand:
    """A command that is not in the log yet; `queued_at_s` is of the event loop's clock."""

    queued_at_s: float
    command: Command
    result: asyncio.Future[CommandResult]


@dataclass(frozen=True, slots=True)
class ProposedCommand:
    """A command that this member proposed as the leader of `term`."""

    term: int
    result: asyncio.Future[CommandResult]


class ProposalQueue:
    """Proposes commands in groups, and resolves their futures when their entries are applied.

    `clock_ms` gives the stamp of a command when it is proposed.
    """

    def __init__(self, node: RaftNode, clock_ms: Callable[[], int]) -> None:
        self._node = node
        self._clock_ms = clock_ms
        self._loop = asyncio.get_running_loop()
        self._queue: list[QueuedCommand] = []
        self._proposed: dict[int, ProposedCommand] = {}  # by log index
        self._last_proposed_index = 0

    def submit(self, command: Command) -> asyncio.Future[CommandResult]:
        """Queue `command`; the future ends with its result, `NotLeaderError` or `OutcomeUnknownError`."""
        result: asyncio.Future[CommandResult] = self._loop.create_future()
        self._queue.append(QueuedCommand(self._loop.time(), command, result))
        return result

    def propose_due(self) -> None:
        """Propose all queued commands, once those proposed before are committed.

        The more there is to do, the more commands share one fsync. None waits longer than `MAX_GROUP_WAIT_S`
        and a tick.
        """
        if not self._queue or self._is_group_open():
            return
        queue = self._queue
        self._queue = []
        for queued in queue:
            if not queued.result.done():  # else its client has given up, and nothing was done
                self._propose(queued)

    def _is_group_open(self) -> bool:
        """Whether further commands may still join those in the queue."""
        return (
            self._node.log.commit_index < self._last_proposed_index
            and len(self._queue) < MAX_GROUP_COMMANDS
            and self._loop.time() - self._queue[0].queued_at_s < MAX_GROUP_WAIT_S
        )

    def _propose(self, queued: QueuedCommand) -> None:
        stamped = msgspec.structs.replace(queued.command, clock_ms=self._clock_ms())
        try:
            index = self._node.propose(msgspec.msgpack.encode(stamped))
        except NotLeaderError as error:
            queued.result.set_exception(error)
            return
        self._last_proposed_index = index
        self._proposed[index] = ProposedCommand(self._node.term, queued.result)

    def on_applied(self, entry: Entry, result: CommandResult) -> None:
        """Resolve the command that was proposed at the entry's index, if there is one."""
        proposed = self._proposed.pop(entry.index, None)
        if proposed is None or proposed.result.done():
            return
        if proposed.term == entry.term:
            proposed.result.set_result(result)
        else:  # another leader's entry took its place
            proposed.result.set_exception(NotLeaderError(self._node.leader))

    def on_snapshot_installed(self, index: int) -> None:
        """Fail the commands whose entries the snapshot up to `index` covers: their results are not known."""
        covered = [proposed_index for proposed_index in self._proposed if proposed_index <= index]
        for proposed_index in covered:
            result = self._proposed.pop(proposed_index).result
            if not result.done():
                result.set_exception(OutcomeUnknownError("covered by a snapshot"))
