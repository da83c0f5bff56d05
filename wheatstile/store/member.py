"""One member of the store without its sockets: the Raft core, its disk, its state, and who waits for what.

What comes up within one turn of the loop is carried out together, with one fsync for all (group commit).
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import zlib
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import msgspec
import structlog

from wheatstile.store.disk import Disk
from wheatstile.store.errors import NotLeaderError
from wheatstile.store.machine import Command, Machine, Result
from wheatstile.store.protocol import Status
from wheatstile.store.raft.messages import Entry, EntryKind, Message, Role
from wheatstile.store.raft.node import RaftNode

log = structlog.get_logger()

TICK = 0.05
"""Seconds a tick lasts: an election time-out is 0.5 to 1 s, a heartbeat goes every 0.1 s."""
CATCH_UP = 100
"""Ticks made up for at most after a pause; a leader steps down within them, a follower asks for votes."""
COMPACT_EVERY = 5_000
"""Applied entries after which the log is compacted into a snapshot."""

GROUP, GROUP_WAIT = 512, 0.005
"""Commands that wait at most for those before them to be committed, and seconds."""


class DiskFailed(Exception):
    """What is on the disk is not known any more, so nothing may be said on the strength of it."""


class Unknown(Exception):
    """Whether the command is applied cannot be told any more."""


@dataclass(frozen=True)
class Place:
    """Who this member is and where it keeps what it knows."""

    name: str
    voters: frozenset[str]
    directory: Path
    cluster: str = "wheatstile"
    seed: int = 0
    trace: bool = False  # prints what it does, for checkers over histories
    compact_every: int = COMPACT_EVERY


class Member:
    """`send` takes a message for another member, and may drop it."""

    def __init__(self, place: Place, send: Callable[[Message], None]) -> None:
        self.place, self._send = place, send
        self.disk = Disk(place.directory, place.cluster, place.name)
        loaded = self.disk.loaded
        if loaded.torn_bytes:
            log.warning("a torn record is cut off", bytes=loaded.torn_bytes)
        self.machine = Machine.load(loaded.snapshot.data if loaded.snapshot else b"")
        draw = random.Random(f"{place.seed}:{place.name}").randrange
        self.node = RaftNode(
            place.name,
            place.voters,
            draw,
            hard_state=loaded.hard_state,
            snapshot=loaded.snapshot,
            entries=loaded.entries,
            ticks=self._now(),
        )
        self.loop = asyncio.get_running_loop()
        self.failed: asyncio.Future[None] = self.loop.create_future()
        self.applied_one = asyncio.Event()  # of the next application, and then replaced
        self._writes: dict[int, tuple[int, asyncio.Future[Result]]] = {}  # index -> (term, who waits)
        self._queue: list[tuple[float, Command, asyncio.Future[Result]]] = []
        self._proposed = 0  # the index of the last command taken from the queue
        self._reads: dict[int, asyncio.Future[int]] = {}
        # A read's number: not one of an earlier life of this member, whose answer may still come.
        self._numbers = itertools.count(time.monotonic_ns())
        self._kicked = False
        self._leading = 0  # the term in which this member's commands are stamped
        self._clock: tuple[int, int] = (0, 0)  # the committed clock when this term's began, and ours then
        self._said = Role.FOLLOWER

    @staticmethod
    def _now() -> int:
        return int(time.monotonic() / TICK)

    # -- time -----------------------------------------------------------------------------------------------

    def catch_up(self) -> None:
        """Brings the core's ticks up to the clock: a process that was stopped has been away as long."""
        now = self._now()
        due = now - self.node.ticks
        if due > CATCH_UP:
            log.warning("a pause", seconds=round(due * TICK, 2))
            self.node.skip_ticks(due - CATCH_UP)
        while self.node.ticks < now:
            self.node.tick()

    async def run(self) -> None:
        """Keeps time until the disk fails. Raises `DiskFailed`."""
        while not self.failed.done():
            self.catch_up()
            self._end_keys()
            self.kick()
            await asyncio.wait([self.failed], timeout=TICK)
        self.failed.result()

    def clock_ms(self) -> int:
        """The committed clock as this leader runs it; it stands while nobody leads."""
        base, since = self._clock
        if self._leading != self.node.term or self.node.role is not Role.LEADER:
            return self.machine.now_ms
        return max(self.machine.now_ms, base + (time.monotonic_ns() - since) // 1_000_000)

    def _end_keys(self) -> None:
        """Has the log carry the clock on where a key's time is up and nobody writes."""
        end = self.machine.next_end()
        if end is not None and self._leading == self.node.term and end <= self.clock_ms():
            with suppress(NotLeaderError):
                self.node.propose(msgspec.msgpack.encode(Command(now_ms=self.clock_ms())))

    # -- what is asked of it --------------------------------------------------------------------------------

    async def write(self, command: Command) -> Result:
        """The command's result once it is committed and applied here. Raises `NotLeader`, `Unknown`."""
        self.catch_up()
        if self.node.role is not Role.LEADER:
            raise NotLeaderError(self.node.leader)
        future: asyncio.Future[Result] = self.loop.create_future()
        self._queue.append((self.loop.time(), command, future))
        self.kick()
        return await future

    def _propose_queued(self) -> None:
        """Takes what waits into the log, all at once, when what was taken before is committed: the more there
        is to do, the more goes by one fsync. Nothing waits longer than `GROUP_WAIT` and a tick."""
        if not self._queue or (
            self.node.log.commit_index < self._proposed
            and len(self._queue) < GROUP
            and self.loop.time() - self._queue[0][0] < GROUP_WAIT
        ):
            return
        queue, self._queue = self._queue, []
        for _, command, future in queue:
            if future.done():
                continue  # its client's time is up, and nothing has been done
            try:
                stamped = msgspec.structs.replace(command, now_ms=self.clock_ms())
                self._proposed = self.node.propose(msgspec.msgpack.encode(stamped))
                self._writes[self._proposed] = (self.node.term, future)
            except NotLeaderError as error:
                future.set_exception(error)

    async def current(self) -> None:
        """Returns once what is applied here holds all that was committed before the call. Raises `NotLeader`
        where nobody leads; without a quorum it does not return."""
        self.catch_up()
        number = next(self._numbers)
        future: asyncio.Future[int] = self.loop.create_future()
        self._reads[number] = future
        try:
            self.node.read(number)
            self.kick()
            index = await future
        finally:
            del self._reads[number]
            self.node.cancel_read(number)
        while self.node.log.applied_index < index:
            await self.applied_one.wait()

    @property
    def age_ms(self) -> int:
        """By how much, at the most, a read without asking anybody may be behind."""
        self.catch_up()
        return (self.node.commit_age_ticks + 1) * int(TICK * 1000)

    def status(self) -> Status:
        node = self.node
        return Status(
            node.name,
            node.role.value,
            node.leader or "",
            node.term,
            node.log.commit_index,
            node.log.applied_index,
            node.log.snapshot.index,
            sorted(node.configuration.voters),
            sorted(node.configuration.learners),
            bool(node.configuration.outgoing_voters),
            self.age_ms,
            self.clock_ms(),
            len(self.machine.keys),
            self.disk.syncs,
            self.place.cluster,
        )

    def step(self, msg: Message) -> None:
        self.catch_up()
        self.node.step(msg)
        self.kick()

    # -- carrying out ---------------------------------------------------------------------------------------

    def kick(self) -> None:
        if not self._kicked and not self.failed.done():
            self._kicked = True
            self.loop.call_soon(self._carry_out)

    def _carry_out(self) -> None:
        """One Ready, in the order that raft.py asks: persist, send, apply, answer reads."""
        self._kicked = False
        if self.failed.done():
            return
        self._propose_queued()
        ready = self.node.ready()
        if ready.is_empty():
            return
        try:
            if ready.snapshot is not None:
                self.disk.compact(ready.snapshot, self.node.hard_state, list(self.node.log.entries))
            else:
                self.disk.save(ready.hard_state, ready.entries)
        except OSError as error:
            self._fail(error)
            return
        if ready.snapshot is not None:
            self.machine = Machine.load(ready.snapshot.data)
            self._trace(f"snapshot {ready.snapshot.index}")
            for index in [i for i in self._writes if i <= ready.snapshot.index]:
                self._settle(index, None)
        for msg in ready.messages:
            self._send(msg)
        for entry in ready.committed_entries:
            self._apply(entry)
        for read in ready.read_states:
            if waiting := self._waiting(read.request_id):
                waiting.set_result(read.index)
        for number in ready.rejected_reads:
            if waiting := self._waiting(number):
                waiting.set_exception(NotLeaderError(self.node.leader))
        if ready.committed_entries or ready.snapshot:
            event, self.applied_one = self.applied_one, asyncio.Event()
            event.set()
        if self.node.role is not self._said:
            self._said = self.node.role
            log.info("role", role=self._said.value, term=self.node.term, leader=self.node.leader)
            if self._said is Role.LEADER:
                self._trace(f"leader {self.node.term}")
        if self.node.log.applied_index - self.node.log.snapshot.index >= self.place.compact_every:
            self._compact()

    def _waiting(self, number: int) -> asyncio.Future[int] | None:
        """The read of this number, unless its client has left."""
        future = self._reads.get(number)
        return None if future is None or future.done() else future

    def _compact(self) -> None:
        self.node.compact(self.machine.dump())
        try:
            self.disk.compact(self.node.log.snapshot, self.node.hard_state, list(self.node.log.entries))
        except OSError as error:
            self._fail(error)

    def _fail(self, error: OSError) -> None:
        self.failed.set_exception(DiskFailed(f"{self.place.directory}: {error}"))

    def _apply(self, entry: Entry) -> None:
        result = Result(True, entry.index)
        if entry.kind is EntryKind.DATA:
            result = self.machine.apply(entry.index, msgspec.msgpack.decode(entry.data, type=Command))
        elif entry.term == self.node.term and self.node.role is Role.LEADER and self._leading != entry.term:
            # Our first entry: all stamps of earlier leaders are known now, and the clock runs on from there.
            self._leading = entry.term
            self._clock = (self.machine.now_ms, time.monotonic_ns())
        self._trace(f"applied {entry.index} {entry.term} {zlib.crc32(entry.data):08x} {int(result.ok)}")
        self._settle(entry.index, result, entry.term)

    def _settle(self, index: int, result: Result | None, term: int = -1) -> None:
        proposed, future = self._writes.pop(index, (0, None))
        if future is None or future.done():
            return
        if result is None:
            future.set_exception(Unknown("covered by a snapshot"))
        elif proposed != term:
            future.set_exception(NotLeaderError(self.node.leader))  # another leader's entry took its place
        else:
            future.set_result(result)

    def _trace(self, line: str) -> None:
        if self.place.trace:
            print(line, flush=True)

    def close(self) -> None:
        self.disk.close()
