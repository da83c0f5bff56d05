"""A member of the store as a process: peers and clients over TCP on loopback, round a `Member`."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import msgspec
import structlog

from wheatstile.store.disk import Damaged
from wheatstile.store.errors import MembershipChangeRejectedError, NotLeaderError
from wheatstile.store.machine import Behind, fault, matches
from wheatstile.store.member import DiskFailed, Member, Place, Unknown
from wheatstile.store.protocol import (
    MAX_REQUEST,
    Found,
    Frames,
    Hello,
    Reply,
    Request,
    connect,
    frame,
)
from wheatstile.store.raft.messages import Message, MessageKind, Snapshot

log = structlog.get_logger()

OUTBOX = 256
"""Messages waiting for one peer at most; more are dropped, which Raft bears as loss."""
REDIAL = 0.1
"""Seconds before a lost peer is dialled again."""
CONNECTIONS = 1024
"""Clients at once; more are closed at once."""
PIECE = 1 << 20
"""Bytes of a backup in one reply."""
SLOW = 5.0
"""Seconds in which a client has to take an answer; a watch that does not is cut."""
MAX_FOUND = 10_000
"""Keys in one answer."""
BOOK = "_members"
"""Keys under which members' addresses stand: `_members/NAME` holds `PEER_PORT CLIENT_PORT`."""

Work = Callable[[socket.socket], Awaitable[None]]


@dataclass(frozen=True)
class Ports:
    """Loopback ports: ours for peers and for clients (0: any), and where each peer is dialled."""

    listen: int
    client: int
    peers: dict[str, int]


class Server:
    def __init__(self, place: Place, ports: Ports) -> None:
        self.place, self.ports = place, ports
        self.member = Member(place, self._send)
        self._outboxes: dict[str, asyncio.Queue[Message]] = {}
        self._clients = 0
        self._tasks: asyncio.TaskGroup

    async def serve(self) -> None:
        """Serves until cancelled. Raises OSError where a port cannot be had or the disk fails."""
        peers, clients = self._listener(self.ports.listen), self._listener(self.ports.client)
        print(f"ready {self.place.name} {peers.getsockname()[1]} {clients.getsockname()[1]}", flush=True)
        try:
            async with asyncio.TaskGroup() as self._tasks:
                self._tasks.create_task(self._accept(peers, self._from_peer))
                self._tasks.create_task(self._accept(clients, self._from_client))
                await self.member.run()
        finally:
            self.member.close()

    @staticmethod
    def _listener(port: int) -> socket.socket:
        listener = socket.create_server(("127.0.0.1", port), backlog=256)
        listener.setblocking(False)
        return listener

    async def _accept(self, listener: socket.socket, work: Work) -> None:
        loop = asyncio.get_running_loop()
        with listener:
            while True:
                try:
                    sock, _ = await loop.sock_accept(listener)
                except OSError as error:  # out of descriptors, or a connection that is gone already
                    log.warning("not accepted", reason=str(error))
                    await asyncio.sleep(REDIAL)
                    continue
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._tasks.create_task(self._owned(sock, work))

    @staticmethod
    async def _owned(sock: socket.socket, work: Work) -> None:
        """Runs `work` on `sock` and closes it at the end; a bad frame costs this connection alone."""
        with sock:
            try:
                await work(sock)
            except (OSError, TimeoutError):
                pass
            except (ValueError, msgspec.MsgspecError) as error:
                log.warning("a connection is cut", reason=str(error))

    # -- members --------------------------------------------------------------------------------------------

    def _send(self, msg: Message) -> None:
        if msg.recipient not in self._outboxes:
            self._outboxes[msg.recipient] = asyncio.Queue(OUTBOX)
            self._tasks.create_task(self._send_to(msg.recipient))
        outbox = self._outboxes[msg.recipient]
        if outbox.full():
            outbox.get_nowait()  # the oldest says least by now
        outbox.put_nowait(msg)

    def _port(self, peer: str) -> int | None:
        if peer in self.ports.peers:
            return self.ports.peers[peer]
        version = self.member.machine.get(f"{BOOK}/{peer}")
        words = version.value.split() if version else []
        return int(words[0]) if words and words[0].isdigit() else None

    async def _send_to(self, peer: str) -> None:
        loop, outbox = asyncio.get_running_loop(), self._outboxes[peer]
        while True:
            msg = await outbox.get()
            if (port := self._port(peer)) is None:
                continue
            try:
                with await connect(("127.0.0.1", port)) as sock:
                    await loop.sock_sendall(sock, frame(Hello(self.place.cluster, self.place.name, peer)))
                    while True:
                        frames = [frame(msg)]
                        while not outbox.empty():
                            frames.append(frame(outbox.get_nowait()))
                        await loop.sock_sendall(sock, b"".join(frames))
                        msg = await outbox.get()
            except OSError:
                await asyncio.sleep(REDIAL)  # what was on the way may be lost, as Raft allows

    async def _from_peer(self, sock: socket.socket) -> None:
        frames = Frames(sock)
        hello: Hello | None = await frames.next(Hello)
        if hello is None:
            return
        if (hello.cluster, hello.to) != (self.place.cluster, self.place.name):
            log.warning("a peer is refused", name=hello.name, cluster=hello.cluster, to=hello.to)
            return
        while (msg := await frames.next(Message)) is not None:
            if (msg.sender, msg.recipient) != (hello.name, self.place.name):
                raise ValueError(
                    f"a message from {msg.sender} to {msg.recipient} on the connection of {hello.name}"
                )
            if msg.kind is MessageKind.SNAPSHOT and not isinstance(msg.snapshot, Snapshot):
                raise ValueError("a snapshot message without a snapshot")
            self.member.step(msg)

    # -- clients --------------------------------------------------------------------------------------------

    async def _from_client(self, sock: socket.socket) -> None:
        if self._clients >= CONNECTIONS:
            return
        self._clients += 1
        try:
            frames = Frames(sock, MAX_REQUEST)
            while (request := await frames.next(Request)) is not None:
                if request.op == "watch":
                    return await self._watch(sock, request)
                reply = await self._answer(request)
                if request.op == "backup" and not reply.error:
                    await self._backup(sock)
                else:
                    await self._tell(sock, reply)
        finally:
            self._clients -= 1

    @staticmethod
    async def _tell(sock: socket.socket, reply: Reply) -> None:
        async with asyncio.timeout(SLOW):
            await asyncio.get_running_loop().sock_sendall(sock, frame(reply))

    async def _answer(self, request: Request) -> Reply:
        try:
            async with asyncio.timeout(min(max(request.within_ms, 1), 60_000) / 1000):
                return await self._do(request)
        except TimeoutError:
            within = f"not decided within {request.within_ms} ms"
            return Reply("unknown", within, self.member.node.leader or "")
        except Unknown as error:
            return Reply("unknown", str(error))
        except NotLeaderError as error:
            return Reply("not-leader", str(error), error.leader or "")
        except MembershipChangeRejectedError as error:
            return Reply("refused", str(error))

    async def _do(self, request: Request) -> Reply:
        member = self.member
        match request.op:
            case "write":
                command = request.command
                if command is None or (why := fault(command)):
                    return Reply("bad", why if command else "no command")
                result = await member.write(command)
                return Reply(result=result, revision=result.revision)
            case "status":
                return Reply(status=member.status())
            case "members":
                index = member.node.change_members(request.voters, request.learners)
                member.kick()
                while member.node.log.applied_index < index or member.node.configuration.outgoing_voters:
                    await member.applied_one.wait()
                return Reply(status=member.status())
            case "transfer":
                term = member.node.term
                member.node.transfer_leadership(request.key)
                member.kick()
                while member.node.term == term:
                    await asyncio.sleep(0.01)
                return Reply(status=member.status())
            case "backup":
                await member.current()
                return Reply()
        if request.stale_ms < 0:
            await member.current()
        elif member.age_ms > request.stale_ms:
            return Reply("stale", f"{member.age_ms} ms old, {request.stale_ms} at most", age_ms=member.age_ms)
        return self._read(request)

    def _read(self, request: Request) -> Reply:
        machine, found = self.member.machine, []
        if request.op == "get":
            version = machine.get(request.key)
            found = [(request.key, version)] if version else []
        elif request.op == "list":
            for pair in machine.matching(request.key):
                if len(found) >= MAX_FOUND:
                    return Reply("bad", f"over {MAX_FOUND} keys match {request.key}")
                found.append(pair)
        else:
            found = [(request.key, version) for version in machine.keys.get(request.key, [])]
        return Reply(
            found=[Found(key, v.revision, v.op, v.value, v.at_ms) for key, v in found],
            revision=self.member.node.log.applied_index,
            age_ms=self.member.age_ms,
        )

    async def _backup(self, sock: socket.socket) -> None:
        """The whole state as it stands now, in pieces."""
        data, revision = self.member.machine.dump(), self.member.node.log.applied_index
        for start in range(0, len(data), PIECE):
            piece = data[start : start + PIECE]
            await self._tell(sock, Reply(revision=revision, data=piece, left=len(data) - start - len(piece)))

    async def _watch(self, sock: socket.socket, request: Request) -> None:
        """Events in order, all of a revision in one reply, none left out and none twice. A reply without
        events says up to which revision there was nothing. Who is slow is cut, and asks from its last."""
        at = request.after
        told = asyncio.get_running_loop().time()
        if self.member.node.log.applied_index < at:
            await self._tell(sock, Reply(revision=at))  # this member is behind: what is new comes in time
        while True:
            moved = self.member.applied_one  # taken before the look: what comes in between is not missed
            try:
                events = self.member.machine.events_after(at)
            except Behind as behind:
                return await self._tell(
                    sock,
                    Reply("behind", f"the oldest is after {behind.args[0]}", revision=int(behind.args[0])),
                )
            if events:
                at = events[-1].revision
                wanted = [event for event in events if matches(request.key, event.key)]
                if wanted:
                    await self._tell(sock, Reply(events=wanted, revision=at))
                    told = asyncio.get_running_loop().time()
                continue
            with suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await moved.wait()
            if asyncio.get_running_loop().time() - told >= 1.0:
                # It may be cut off: who watches learns how old what it has been told may be.
                told = asyncio.get_running_loop().time()
                await self._tell(sock, Reply(revision=at, age_ms=self.member.age_ms))


async def _run(place: Place, ports: Ports) -> None:
    server = Server(place, ports)
    task = asyncio.current_task()
    assert task
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    await server.serve()


def main(place: Place, ports: Ports) -> int:
    """Serves until SIGTERM. Exit status 0 then; 1 where a port cannot be had or the directory is not usable;
    3 when the disk fails: nothing is said on the strength of what may not be on it."""
    import uvloop

    from wheatstile import logs

    logs.configure()
    status = 0
    try:
        uvloop.run(_run(place, ports))
    except* DiskFailed as errors:
        status = _said(place, errors, 3)
    except* (OSError, Damaged) as errors:
        status = _said(place, errors, 1)
    except* asyncio.CancelledError:
        pass
    return status


def _said(place: Place, errors: BaseExceptionGroup[Exception], status: int) -> int:
    for error in errors.exceptions:
        print(f"store: {place.name}: {error}", file=sys.stderr)
    return status
