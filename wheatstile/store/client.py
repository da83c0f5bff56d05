"""A client of the store: finds the leader, tries again where that is safe, and says so where it cannot know.

A write carries the client's session and a sequence number, so that a write tried again is applied once.
"""

from __future__ import annotations

import asyncio
import itertools
import uuid
from collections.abc import AsyncIterator, Iterable
from contextlib import suppress

import msgspec

from wheatstile.store.machine import Command, Event, Op, Result
from wheatstile.store.protocol import Found, Frames, Reply, Request, Status, connect, frame

PAUSE = 0.05
"""Seconds between two rounds of asking, while nobody leads."""
SILENT = 3.0
"""Seconds without a word after which a watch is opened anew elsewhere; the store speaks each second."""


class StoreError(Exception):
    """What the store refused; `reply` says why."""

    def __init__(self, reply: Reply) -> None:
        super().__init__(f"{reply.error}: {reply.reason}")
        self.reply = reply


class Undecided(Exception):
    """No member answered for it in time: a write may or may not be applied."""


class Lapsed(Exception):
    """A watch has missed events that are no longer kept; the keys have to be read again."""


class Client:
    """Of the members at these loopback ports, NAME to port. One write at a time; `close` ends it."""

    def __init__(self, members: dict[str, int], within: float = 5.0) -> None:
        if not members:
            raise ValueError("no member to ask")
        self.members, self.within = members, within
        self._names = itertools.cycle(sorted(members))
        self._target = next(self._names)
        self._open: dict[str, Frames] = {}
        self._session, self._seq = uuid.uuid4().hex, 0
        self._writing = asyncio.Lock()

    async def write(self, ops: Iterable[Op], need: Iterable[tuple[str, int]] = ()) -> Result:
        """All of `ops` where all of `need` holds. Raises `Undecided`, `StoreError`."""
        async with self._writing:
            self._seq += 1
            command = Command(list(ops), list(need), self._session, self._seq)
            try:
                reply = await self.ask(Request("write", command))
            except BaseException:
                # It may yet be applied: a session that does not know whether it was has to end here.
                self._session, self._seq = uuid.uuid4().hex, 0
                raise
        assert reply.result is not None
        return reply.result

    async def put(self, key: str, value: bytes, revision: int = -1, ttl_ms: int = 0) -> Result:
        """`revision`: the one the key must be at, 0 for none yet, -1 for any."""
        return await self.write([Op("put", key, value, revision, ttl_ms)])

    async def delete(self, key: str, revision: int = -1) -> Result:
        return await self.write([Op("delete", key, revision=revision)])

    async def get(self, key: str, stale_ms: int = -1) -> Found | None:
        """The key as it stands, linearizable unless `stale_ms` says how old it may be."""
        found = (await self.ask(Request("get", key=key, stale_ms=stale_ms))).found
        return found[0] if found else None

    async def matching(self, pattern: str, stale_ms: int = -1) -> tuple[int, list[Found]]:
        """The revision as of which it is answered, and all keys that match."""
        reply = await self.ask(Request("list", key=pattern, stale_ms=stale_ms))
        return reply.revision, reply.found

    async def status(self, name: str) -> Status:
        """What this member says of itself. Raises OSError where it cannot be reached, TimeoutError."""
        async with asyncio.timeout(min(self.within, 2.0)):
            reply = await self._once(name, Request("status"))
        assert reply.status
        return reply.status

    async def statuses(self) -> dict[str, Status | str]:
        """What each member says of itself, or why it was not reached."""
        said: dict[str, Status | str] = {}
        for name in sorted(self.members):
            try:
                said[name] = await self.status(name)
            except (OSError, TimeoutError, ValueError) as error:
                said[name] = str(error) or "no answer"
        return said

    async def leader(self) -> Status | None:
        """Who leads in the highest term that any member tells of."""
        said = (await self.statuses()).values()
        leaders = [status for status in said if isinstance(status, Status) and status.role == "leader"]
        return max(leaders, key=lambda status: status.term, default=None)

    async def change(self, voters: Iterable[str], learners: Iterable[str] = ()) -> Status:
        """The leader's status once these are the members. Raises `Undecided`, `StoreError`."""
        reply = await self.ask(Request("members", voters=sorted(voters), learners=sorted(learners)))
        assert reply.status
        return reply.status

    async def transfer(self, to: str) -> None:
        await self.ask(Request("transfer", key=to))

    async def backup(self) -> tuple[int, bytes]:
        """The revision and the whole state at it, linearizable. Raises `Undecided`, `StoreError`."""
        reply = await self.ask(Request("backup"))
        data, name = bytearray(reply.data), self._target
        try:
            while reply.left:
                async with asyncio.timeout(self.within):
                    reply = await self._answer(name)
                data += reply.data
        except (OSError, TimeoutError, ValueError) as error:
            raise Undecided(f"{name}: {str(error) or 'silent'} before the backup's end") from error
        return reply.revision, bytes(data)

    async def ask(self, request: Request) -> Reply:
        """Asks member after member until one answers for good. Raises `Undecided`, `StoreError`."""
        loop = asyncio.get_running_loop()
        end, last = loop.time() + self.within, "nobody answered"
        while (left := end - loop.time()) > 0:
            sent = msgspec.structs.replace(request, within_ms=max(1, int(min(left, 2.0) * 1000)))
            try:
                async with asyncio.timeout(min(left, 2.5)):
                    reply = await self._once(self._target, sent)
            except (OSError, TimeoutError, ValueError) as error:
                last = f"{self._target}: {str(error) or type(error).__name__}"
                self._drop(self._target)
                self._target = next(self._names)
                await asyncio.sleep(min(PAUSE, max(0.0, end - loop.time())))
                continue
            if reply.error in ("not-leader", "unknown", "stale"):
                last = f"{self._target}: {reply.error}: {reply.reason}"
                led = reply.error == "not-leader" and reply.leader in self.members
                self._target = reply.leader if led else next(self._names)
                if not led:
                    await asyncio.sleep(min(PAUSE, max(0.0, end - loop.time())))
                continue
            if reply.error:
                raise StoreError(reply)
            return reply
        raise Undecided(last)

    async def _once(self, name: str, request: Request) -> Reply:
        if name not in self._open:
            self._open[name] = Frames(await connect(("127.0.0.1", self.members[name])))
        try:
            await asyncio.get_running_loop().sock_sendall(self._open[name].sock, frame(request))
        except BaseException:
            self._drop(name)
            raise
        return await self._answer(name)

    async def _answer(self, name: str) -> Reply:
        try:
            reply = await self._open[name].next(Reply)
            if reply is None:
                raise ConnectionResetError(f"{name} closed the connection")
        except BaseException:
            self._drop(name)  # an answer that is still to come would be taken for the next one's
            raise
        return reply

    def _drop(self, name: str) -> None:
        if frames := self._open.pop(name, None):
            frames.sock.close()

    async def watch(self, pattern: str, after: int) -> AsyncIterator[Event]:
        """Events of matching keys after this revision, without a gap or a repeat, over members' deaths.
        Raises `Lapsed`."""
        while True:
            name = next(self._names)
            with suppress(OSError, TimeoutError, ValueError):
                async with asyncio.timeout(SILENT):
                    sock = await connect(("127.0.0.1", self.members[name]))
                with sock:
                    request = Request("watch", key=pattern, after=after)
                    await asyncio.get_running_loop().sock_sendall(sock, frame(request))
                    frames = Frames(sock)
                    while True:
                        async with asyncio.timeout(SILENT):
                            reply = await frames.next(Reply)
                        if reply is None:
                            break
                        if reply.error == "behind":
                            raise Lapsed(reply.reason)
                        after = max(after, reply.revision)
                        for event in reply.events:
                            yield event
            await asyncio.sleep(PAUSE)

    def close(self) -> None:
        for name in list(self._open):
            self._drop(name)
