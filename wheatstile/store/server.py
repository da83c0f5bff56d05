"""A store node as a process: the Raft core on its disk, peers and clients over TCP on loopback.

Frames on every connection are a 4-byte big-endian length and a MessagePack body: `raft.Message` between
peers; `machine.Command` from a client and `machine.Result` back. A client's command is proposed to the log
and answered when it is applied, so that reads are ordered with writes. What the node does is written to
standard output, one line each, for the checkers over histories: `leader TERM`, `applied INDEX TERM ID OK`.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import sys
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import structlog

from wheatstile.store.disk import Disk
from wheatstile.store.machine import Command, Machine, Result
from wheatstile.store.raft import Entry, EntryKind, Message, Node, NotLeader, Role, Timing

log = structlog.get_logger()

LENGTH = struct.Struct(">I")
TICK = 0.05
"""Seconds a tick lasts: an election takes 0.5 to 1 s, a heartbeat goes every 0.1 s."""
OUTBOX = 256
"""Messages waiting for one peer at most; more are dropped, which Raft bears as loss."""
MAX_FRAME = 16 * 1024 * 1024
COMPACT_EVERY = 500
"""Applied entries after which the log is compacted into a snapshot."""
REDIAL = 0.1
"""Seconds before a lost peer is dialled again."""


async def read_frame(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> bytes | None:
    """One frame's body; None at the end of the stream. Raises ValueError on a frame too large."""
    head = await read_exactly(loop, sock, LENGTH.size)
    if head is None:
        return None
    (length,) = LENGTH.unpack(head)
    if length > MAX_FRAME:
        raise ValueError(f"a frame of {length} bytes")
    return await read_exactly(loop, sock, length)


async def read_exactly(loop: asyncio.AbstractEventLoop, sock: socket.socket, n: int) -> bytes | None:
    buffer = bytearray(n)
    view, got = memoryview(buffer), 0
    while got < n:
        part = await loop.sock_recv_into(sock, view[got:])
        if part == 0:
            return None
        got += part
    return bytes(buffer)


def frame(body: bytes) -> bytes:
    return LENGTH.pack(len(body)) + body


@dataclass
class StoreNode:
    name: str
    peers: dict[str, tuple[str, int]]  # name -> where to send to it (in tests, the link's port)
    listen: int
    client: int
    directory: Path
    seed: int
    outboxes: dict[str, asyncio.Queue[bytes]] = field(default_factory=dict)
    pending: dict[int, tuple[int, asyncio.Future[Result]]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.disk = Disk(self.directory)
        loaded = self.disk.loaded
        self.machine = Machine.load(loaded.snapshot.data) if loaded.snapshot else Machine()
        draw = random.Random(self.seed).randrange
        self.node = Node(self.name, {self.name, *self.peers}, draw, Timing(10, 2),
                         hard_state=loaded.hard_state, snapshot=loaded.snapshot, entries=loaded.entries)
        self.was_leader = False

    async def serve(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as tasks:
            peers = self._listener(self.listen)
            clients = self._listener(self.client)
            print(f"ready {self.name} {peers.getsockname()[1]} {clients.getsockname()[1]}", flush=True)
            for peer in self.peers:
                self.outboxes[peer] = asyncio.Queue(OUTBOX)
                tasks.create_task(self._send_to(loop, peer))
            tasks.create_task(self._accept(loop, peers, tasks, self._from_peer))
            tasks.create_task(self._accept(loop, clients, tasks, self._from_client))
            while True:
                await asyncio.sleep(TICK)
                self.node.tick()
                self._carry_out()

    @staticmethod
    def _listener(port: int) -> socket.socket:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen(64)
        listener.setblocking(False)
        return listener

    async def _accept(self, loop: asyncio.AbstractEventLoop, listener: socket.socket,
                      tasks: asyncio.TaskGroup, handler: object) -> None:
        assert callable(handler)
        try:
            while True:
                sock, _ = await loop.sock_accept(listener)
                sock.setblocking(False)
                tasks.create_task(self._owned(sock, handler(loop, sock)))
        finally:
            listener.close()

    @staticmethod
    async def _owned(sock: socket.socket, work: object) -> None:
        """Runs `work` on `sock`, and closes it at the end, whatever the end was."""
        assert asyncio.iscoroutine(work)
        try:
            await work
        except (OSError, ValueError, msgspec.DecodeError) as error:
            log.info("connection ended", error=str(error))
        finally:
            sock.close()

    async def _from_peer(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        while (body := await read_frame(loop, sock)) is not None:
            msg = msgspec.msgpack.decode(body, type=Message)
            if msg.dst == self.name:
                self.node.step(msg)
                self._carry_out()

    async def _from_client(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        while (body := await read_frame(loop, sock)) is not None:
            command = msgspec.msgpack.decode(body, type=Command)
            result = await self._propose(command)
            await loop.sock_sendall(sock, frame(msgspec.msgpack.encode(result)))

    async def _propose(self, command: Command) -> Result:
        try:
            index = self.node.propose(msgspec.msgpack.encode(command))
        except NotLeader as error:
            return Result(False, reason=f"not leader; leader {error.leader or '?'}")
        future: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self.pending[index] = (self.node.term, future)
        self._carry_out()
        return await future

    async def _send_to(self, loop: asyncio.AbstractEventLoop, peer: str) -> None:
        outbox = self.outboxes[peer]
        while True:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            try:
                await loop.sock_connect(sock, self.peers[peer])
                while True:
                    await loop.sock_sendall(sock, await outbox.get())
            except OSError:
                pass  # the peer or the route is gone; what was queued for it may be lost, as Raft allows
            finally:
                sock.close()
            await asyncio.sleep(REDIAL)

    def _carry_out(self) -> None:
        """Carries one Ready out: persist, then send, then apply (the order raft.py asks)."""
        ready = self.node.ready()
        if ready.empty():
            return
        self.disk.save(ready.hard_state, ready.snapshot, ready.entries)
        if ready.snapshot is not None:
            self.machine = Machine.load(ready.snapshot.data)
            print(f"snapshot {ready.snapshot.index}", flush=True)
        for msg in ready.messages:
            outbox = self.outboxes.get(msg.dst)
            if outbox is not None and not outbox.full():
                outbox.put_nowait(frame(msgspec.msgpack.encode(msg)))
        for entry in ready.committed:
            self._apply(entry)
        leader = self.node.role is Role.LEADER
        if leader and not self.was_leader:
            print(f"leader {self.node.term}", flush=True)
        self.was_leader = leader
        if self.node.applied - self.node.snap.index >= COMPACT_EVERY:
            self.node.compact(self.node.applied, self.machine.dump())
            self.disk.compact(self.node.snap, list(self.node.log))

    def _apply(self, entry: Entry) -> None:
        waiting = self.pending.pop(entry.index, None)
        if entry.kind is not EntryKind.DATA:
            result = Result(True)
            command_id = "-"
        else:
            command = msgspec.msgpack.decode(entry.data, type=Command)
            result = self.machine.apply(entry.index, command)
            command_id = command.id or "-"
        print(f"applied {entry.index} {entry.term} {command_id} {int(result.ok)}", flush=True)
        if waiting is not None and not waiting[1].done():
            term, future = waiting
            future.set_result(result if term == entry.term else Result(False, reason="lost to a new leader"))


def main(name: str, peers: dict[str, tuple[str, int]], listen: int, client: int, directory: Path,
         seed: int) -> int:
    """Serves until killed. Exit status 0 at SIGINT, 1 when a port cannot be had."""
    import uvloop

    from wheatstile import logs

    logs.configure()
    try:
        uvloop.run(StoreNode(name, peers, listen, client, directory, seed).serve())
    except OSError as error:
        print(f"store: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        pass
    return 0
