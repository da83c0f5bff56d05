"""Clients: channels that open with a first line, the RPC that each asks for, its answer, and the relay."""

import asyncio
import errno
import os
import re
import socket
from collections import OrderedDict
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass
from math import isfinite
from typing import Any, TypeVar

import structlog

from wheatstile import interface as api
from wheatstile.net.core import Core
from wheatstile.net.lines import LINGER, LineSocket, LineTooLong
from wheatstile.net.servers import Attempt, Subchannels, verdict_of

log = structlog.get_logger()
T = TypeVar("T")

FIRST_LINE_WITHIN = 2.0  # seconds for a channel's first line: clients send it at once, and are answered in 3
REOPEN_WITHIN = 40.0  # seconds in which a connection from before the run has to be up again
LATE = 0.02  # seconds past its client's time after which an RPC that nobody answered is failed here
SILENT_AFTER = 4_000_000  # microseconds without an answer to a client's line. Lines come every 2 s and a
# connection that returns nothing must be ended within 7 s: the next line, this, and a sweep come to 6.5.
SWEEP = 0.5  # seconds between two looks for silent servers
IDS_KEPT = 1 << 12  # ids that a repeat is known by, beside those of all RPCs that stand
OWN = 20  # descriptors beside channels', RPCs' and probes': output, loop, listener, discovery, the spare one
UNSERVED = 1 / 8  # of the descriptors are for channels that have no RPC, be they silent, refused or ending
NO_DESCRIPTORS_RETRY = 1000  # milliseconds that a client is told to stay away when descriptors run out
SILENT, DRAIN = "silent server", "drain"  # why a client is moved, beside the module's decision
OPEN_LINE = re.compile(rb"OPEN ([0-9a-f]{16}) ([!-~]+) ([!-~]+)\r\n")
FIELD = re.compile(rb"[a-z][a-z0-9_]*=[!-+\--<>-~]+")
HINT = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")  # more digits say nothing of a load, and may be no number


class Malformed(Exception):
    """A channel's first line, or what came with it, has a form that no client sends."""


class ChannelEnded(Exception):
    """The client's side of the connection has ended."""

    def __init__(self, reset: bool = False) -> None:
        self.reset = reset


@dataclass(frozen=True, slots=True)
class ChannelLimits:
    """What the configuration says of dealing with clients."""

    descriptors: int
    deadlines: dict[str, int]  # milliseconds that a class's clients wait at most


@dataclass(frozen=True, slots=True)
class FirstLine:
    """The line that a channel opens with. It goes on byte for byte but for the figure of d."""

    id: str
    key: str
    fields: dict[str, str]
    before_d: bytes
    after_d: bytes
    wait: int  # milliseconds, of d

    @classmethod
    def read(cls, line: bytes) -> "FirstLine":
        """Raises Malformed: a server takes a form that no client sent as a fault of the balancer's."""
        found = OPEN_LINE.fullmatch(line)
        if not found:
            raise Malformed
        fields: dict[str, str] = {}
        for field in found[3].split(b","):
            if not FIELD.fullmatch(field):
                raise Malformed
            name, _, value = field.decode().partition("=")
            if name in fields or (name == "h" and not HINT.fullmatch(value)):
                raise Malformed
            fields[name] = value
        if not {"c", "d", "g"} <= fields.keys() or not re.fullmatch("[0-9]{1,9}", fields["d"]):
            raise Malformed
        if any(fields.get(flag, "1") != "1" for flag in ("r", "again")):
            raise Malformed
        start = found.start(3) + (0 if found[3].startswith(b"d=") else found[3].index(b",d=") + 1) + 2
        end = start + len(fields["d"])
        return cls(found[1].decode(), found[2].decode(), fields, line[:start], line[end:], int(fields["d"]))

    def with_wait(self, milliseconds: int) -> bytes:
        return b"%b%d%b" % (self.before_d, milliseconds, self.after_d)

    def request(self, longest: int) -> api.Request:
        f = self.fields
        return api.Request(
            self.id,
            f["c"],
            min(self.wait, longest) * 1000,  # no client waits longer, whatever it writes
            self.key,
            returning=f.get("again") == "1",
            retry=f.get("r") == "1",
            load_hint=float(f.get("h", 0.0)),
            group=f["g"],
        )


class Channel:
    """One client's connection and the RPC that it asks for. Owns both sides' sockets from accept to close."""

    def __init__(self, front: "Channels", sock: socket.socket) -> None:
        self.front, self.core = front, front.core
        self.lines = LineSocket(sock)
        self.task: asyncio.Task[None]  # its whole life
        self.id = ""
        self.number = 0  # of the attempt
        self.attempt: Attempt | None = None
        self.up = False
        self._decisions: asyncio.Queue[api.Send | api.Refuse | api.Fail] = asyncio.Queue()
        self._answered = asyncio.Event()  # the module has said its last, maybe while an attempt is out
        self._ending: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._reader: asyncio.Task[None] | None = None
        self._to_client = asyncio.Lock()  # held while lines go out, so that MOVE goes between two

    def decide(self, action: api.Send | api.Refuse | api.Fail | api.Move) -> None:
        if isinstance(action, api.Move):
            self.end("by decision")
        else:
            self._decisions.put_nowait(action)
            if not isinstance(action, api.Send):
                self._answered.set()

    @property
    def standing(self) -> bool:
        """Whether the RPC is up and not about to be moved."""
        return self.up and not self._ending.done()

    def end(self, reason: str) -> None:
        """Have an open connection ended with MOVE."""
        if not self._ending.done():
            self._ending.set_result(reason)

    def unanswered(self, now: int) -> int:
        """For how long a line of the client's has waited for the server."""
        asked_at = self.attempt.subchannel.open.get(self.id, 0) if self.up and self.attempt else 0
        return now - asked_at if asked_at else 0

    async def run(self) -> None:
        """The channel's whole life; both sockets are given back here and nowhere else."""
        reset = False
        try:
            last = await self._serve()
            await self._stop_reading()
            await self.lines.finish(last)
        except ChannelEnded as ended:
            reset = ended.reset
        except Malformed:
            self.core.counters["malformed"] += 1
            await self._stop_reading()
            await self.lines.finish(b"ERR\r\n")
        finally:
            await self._stop_reading()
            self._drop_attempt(reset)
            self.lines.close(reset)

    async def _stop_reading(self) -> None:
        if self._reader:
            self._reader.cancel()
            await asyncio.wait([self._reader])

    def _drop_attempt(self, reset: bool = False) -> None:
        if self.attempt:
            self.attempt.subchannel.open.pop(self.id, None)
            self.attempt.close(reset)
            self.attempt = None

    async def _unless_left(self, work: Coroutine[Any, Any, T]) -> T:
        """The work's result, unless the client's side ends first: then the work is stopped."""
        assert self._reader
        task = asyncio.create_task(work)
        try:
            await asyncio.wait([task, self._reader], return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                self._reader.result()  # raises
            return task.result()
        finally:
            if not task.done():
                task.cancel()
                await asyncio.wait([task])

    async def _serve(self) -> bytes:
        """Read the first line and serve what it asks; the last line that the client is owed, if any."""
        first = FirstLine.read(await self._first_line())
        if first.fields["c"] not in self.front.limits.deadlines or self.front.seen(first.id):
            raise Malformed
        if self.front.full():
            self.core.counters["unavailable, no descriptors"] += 1
            return self.front.unavailable(NO_DESCRIPTORS_RETRY)
        self.id = first.id
        self.front.admit(self)
        self._reader = asyncio.create_task(self._read_channel())
        try:
            last = await self._set_up_in_time(first)
            return last if last else await self._relay()
        finally:
            self.front.release(self)

    async def _first_line(self) -> bytes:
        idle_ends: type[Exception] = Malformed
        try:
            while True:
                async with asyncio.timeout(FIRST_LINE_WITHIN):
                    line = await self.lines.read_line()
                if line != b"PING\r\n" or self.lines.pending:
                    break
                self.core.counters["pings"] += 1
                await self.lines.send(b"PONG\r\n")
                idle_ends = ChannelEnded
        except TimeoutError:
            raise idle_ends from None
        except LineTooLong:
            raise Malformed from None
        except OSError:
            raise ChannelEnded(reset=True) from None
        if not line:
            raise ChannelEnded
        if self.lines.pending:  # a client waits after its first line
            raise Malformed
        return line

    async def _set_up_in_time(self, first: FirstLine) -> bytes:
        """Empty once the RPC is up, else its final answer."""
        self.core.counters["RPCs"] += 1
        try:
            longest = REOPEN_WITHIN * 1000 if "at" in first.fields else self.front.longest(first)
            async with asyncio.timeout(min(first.wait, longest) / 1000 + LATE):
                return await (self._reopen(first) if "at" in first.fields else self._set_up(first))
        except TimeoutError:
            # The module answers before a client's time is up; should it not, nobody is left without answer.
            self.core.counters["overdue"] += 1
            self.core.tell(api.ClientLeft(self.id))
            return b"ERR\r\n"
        except (ChannelEnded, Malformed):
            self.core.counters["clients left early"] += 1
            self.core.tell(api.ClientLeft(self.id))
            raise

    async def _set_up(self, first: FirstLine) -> bytes:
        """Do as the module decides until the RPC is up or has its final answer."""
        self.core.tell(first.request(self.front.longest(first)))
        while True:
            action = await self._unless_left(self._decisions.get())
            if isinstance(action, api.Refuse):
                self.core.counters["unavailable"] += 1
                return self.front.unavailable(-(-action.retry_after // 1000))
            if isinstance(action, api.Fail):
                self.core.counters["failed"] += 1
                return b"ERR\r\n"
            start = self.core.now()
            timeout = (action.timeout or self.front.longest(first) * 1000) / 1e6
            outcome, line = await self._try(first.with_wait, action.server, timeout)
            elapsed = self.core.now() - start
            if outcome == "up":
                await self._send_up(line)
                self.core.tell(api.Established(self.id, self.number, action.server, elapsed))
                return b""
            report = self.attempt.report if self.attempt else None
            self._drop_attempt()  # before the module can ask for the next
            closed = outcome == "ok"
            self.core.tell(
                api.AttemptEnded(self.id, self.number, action.server, outcome, elapsed, closed, report)
            )
            if closed:
                return line
            self.number += 1

    async def _reopen(self, first: FirstLine) -> bytes:
        """A connection that was open at a server before the run: the module hears of it once it is up."""
        server, within = first.fields["at"], min(first.wait / 1000, REOPEN_WITHIN)
        # All balancers reopen all their connections at once, and a packet lost then comes again after 1 s.
        as_is = first.with_wait(first.wait)
        outcome, line = await self._try(lambda _: as_is, server, within, patient=True)
        if outcome == "up":
            await self._send_up(line)
            self.core.tell(api.OpenConnection(self.id, first.fields["c"], server, first.key))
            return b""
        self.core.counters[f"not reopened, {outcome}"] += 1  # no log line for each: any client can write at=
        return b"ERR\r\n"

    async def _try(
        self, first_line: Callable[[int], bytes], server: str, timeout: float, patient: bool = False
    ) -> tuple[str, bytes]:
        """One attempt. The one before it was closed when it ended, so that there are never two."""
        self.attempt = self.front.subchannels.attempt(server)
        if self.attempt is None:
            return "connect_failed", b""
        run = asyncio.create_task(self.attempt.run(first_line, timeout, patient))
        answered = asyncio.create_task(self._answered.wait())
        try:
            await self._unless_left(_first_of(run, answered))
            outcome, line = run.result() if run.done() else ("cancelled", b"")
        finally:
            run.cancel()
            answered.cancel()
            await asyncio.wait([run, answered])
        self.core.counters[f"attempt {outcome}"] += 1
        return outcome, line

    async def _send_up(self, line: bytes) -> None:
        assert self.attempt
        self.attempt.subchannel.open[self.id] = 0
        self.up = True  # from here on the reader passes the client's lines on
        try:
            await self._unless_left(self.lines.send(line))
        except OSError:
            raise ChannelEnded(reset=True) from None

    async def _relay(self) -> bytes:
        """Pass lines on until either side ends or the connection is to be moved; the client's last line."""
        assert self.attempt
        server, start = self.attempt.subchannel.name, self.core.now()
        outcome, report, reset = "cancelled", None, False
        pump = asyncio.create_task(self._pump())
        try:
            try:
                await self._unless_left(_first_of(pump, self._ending))
            except Malformed:
                last = b"ERR\r\n"
            else:
                if pump.done():
                    outcome, report, reset = pump.result()
                    if reset:
                        raise ChannelEnded(reset=True)
                    return b""
                last = b"MOVE\r\n"
                outcome = "reset" if self._ending.result() == SILENT else "cancelled"
                self.core.counters[f"MOVE, {self._ending.result()}"] += 1
            async with asyncio.timeout(LINGER):
                await self._to_client.acquire()  # and keep it: no further line may follow the last
            return last
        except TimeoutError:  # a client that takes nothing stands in the middle of a line
            reset = True
            raise ChannelEnded(reset=True) from None
        except ChannelEnded as ended:
            reset = ended.reset
            raise
        finally:
            pump.cancel()
            await asyncio.wait([pump])
            self._drop_attempt(reset)
            self.front.release(self)
            self.core.counters[f"connection {outcome}"] += 1
            elapsed = self.core.now() - start
            self.core.tell(api.AttemptEnded(self.id, self.number, server, outcome, elapsed, True, report))

    async def _pump(self) -> tuple[str, api.Report | None, bool]:
        """The server's lines to the client, whole ones only; how the server ended it, and if by a reset."""
        assert self.attempt and self.attempt.lines
        subchannel, last = self.attempt.subchannel, b""
        reset = False
        while True:
            try:
                lines = await self.attempt.lines.read_lines()
            except OSError:
                lines, reset = b"", True
            except LineTooLong:
                return "error", None, False
            if not lines:
                break
            for line in lines.splitlines():
                word, _, rest = line.partition(b" ")
                if word == b"LOAD":
                    self._note_load(rest)
                elif word not in (b"BYE", b"MOVE"):
                    subchannel.answered(self.id, self.core.now())
                last = line
            try:
                async with self._to_client:
                    await self.lines.send(lines)
            except OSError:
                raise ChannelEnded(reset=True) from None
        outcome, report = verdict_of(last) if last.startswith((b"BYE", b"MOVE")) else ("reset", None)
        return outcome, report, reset and outcome == "reset"

    def _note_load(self, text: bytes) -> None:
        assert self.attempt
        try:
            load = float(text)
        except ValueError:
            return
        if load >= 0 and isfinite(load):
            self.core.tell(api.LoadNote(self.id, self.attempt.subchannel.name, load))

    async def _read_channel(self) -> None:
        """The client's lines to the server, once it is up. Ends only with the client's side."""
        try:
            while lines := await self.lines.read_lines():
                if not self.up:
                    raise Malformed
                if self.attempt and self.attempt.lines:
                    self.attempt.subchannel.asked(self.id, self.core.now())
                    with suppress(OSError):  # the server's end is for the pump to see
                        await self.attempt.lines.send(lines)
        except LineTooLong:
            raise Malformed from None
        except OSError:
            raise ChannelEnded(reset=True) from None
        raise ChannelEnded


async def _first_of(*futures: "asyncio.Future[Any]") -> None:
    await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)


class Channels:
    """The front on the platform's protocol: accepts clients' connections and keeps their channels."""

    def __init__(self, core: Core, subchannels: Subchannels, limits: ChannelLimits) -> None:
        self.core, self.subchannels, self.limits = core, subchannels, limits
        self.channels: dict[asyncio.Task[None], Channel] = {}
        self._unserved: dict[Channel, asyncio.Task[None]] = {}  # those without an RPC, the oldest first
        self._ids: OrderedDict[str, None] = OrderedDict()
        self._spare = os.open(os.devnull, os.O_RDONLY)

    def seen(self, id: str) -> bool:
        """Whether this id has come before: a repeat would put a second copy of an RPC out.

        An RPC may be older than all ids that are kept; its owner must not lose it to whoever repeats its id.
        """
        if id in self._ids or id in self.core.rpcs:
            return True
        self._ids[id] = None
        if len(self._ids) > IDS_KEPT:
            self._ids.popitem(last=False)
        return False

    def longest(self, first: FirstLine) -> int:
        """The milliseconds that this client waits at most."""
        return min(first.wait, self.limits.deadlines[first.fields["c"]])

    def admit(self, channel: Channel) -> None:
        """A channel has asked for an RPC: from here on it is served, and safe from the crowd."""
        self._unserved.pop(channel, None)
        self.core.rpcs[channel.id] = channel

    def release(self, channel: Channel) -> None:
        """Its RPC is over; what is left is to take the last line."""
        if self.core.rpcs.pop(channel.id, None):
            self._unserved[channel] = channel.task

    def _left(self) -> int:
        """Descriptors that RPCs leave for others, at a channel and a server for each."""
        return self.limits.descriptors - OWN - self.subchannels.most_probes() - 2 * len(self.core.rpcs)

    def full(self) -> bool:
        """Whether another RPC would take descriptors that the unserved need, to be answered at all."""
        return self._left() - 2 < int(self.limits.descriptors * UNSERVED)

    def _make_room(self) -> None:
        """End the oldest channel without an RPC when there are too many, however they fell silent.

        A usual client writes its first line at once and is soon served; the crowd may not take its place.
        """
        most = max(self._left(), int(self.limits.descriptors * UNSERVED))
        if self._unserved and len(self._unserved) >= most:
            channel = next(iter(self._unserved))
            self._unserved.pop(channel).cancel()
            self.core.counters["crowded out"] += 1

    def unavailable(self, milliseconds: int) -> bytes:
        """The unavailable status, with the time after which to come again."""
        return b"BUSY %d\r\n" % milliseconds if milliseconds > 0 else b"BUSY\r\n"

    async def serve(self, listener: socket.socket) -> None:
        """Accept for ever, also while descriptors are out: whoever cannot be kept is refused politely."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(listener)
            except OSError as error:
                self.core.counters[f"accept failed: {errno.errorcode.get(error.errno or 0, '?')}"] += 1
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    self._refuse_one(listener)
                await asyncio.sleep(0.01)
                continue
            self._make_room()
            channel = Channel(self, sock)
            channel.task = asyncio.create_task(channel.run())
            self.channels[channel.task], self._unserved[channel] = channel, channel.task
            channel.task.add_done_callback(self._over)

    def _refuse(self, sock: socket.socket) -> None:
        self.core.counters["unavailable, no descriptors"] += 1
        with sock, suppress(OSError):
            sock.setblocking(False)
            sock.send(self.unavailable(NO_DESCRIPTORS_RETRY))

    def _refuse_one(self, listener: socket.socket) -> None:
        """With no descriptor left, a spare one is given up for as long as it takes to refuse one client.

        Without it a client in the backlog would neither be served nor told, and accept would spin.
        """
        os.close(self._spare)
        try:
            with suppress(OSError):
                self._refuse(listener.accept()[0])
        finally:
            self._spare = os.open(os.devnull, os.O_RDONLY)

    def _over(self, task: asyncio.Task[None]) -> None:
        channel = self.channels.pop(task)
        self._unserved.pop(channel, None)
        if not task.cancelled() and (error := task.exception()):
            self.core.counters["channel failures"] += 1
            log.error("a channel failed", rpc=channel.id, exc_info=error)

    async def sweep(self) -> None:
        """Move clients whose server has been silent for too long: TCP tells nothing of a cut-off one."""
        while True:
            await asyncio.sleep(SWEEP)
            now = self.core.now()
            for channel in list(self.channels.values()):
                if channel.unanswered(now) > SILENT_AFTER:
                    channel.end(SILENT)

    async def drain(self, seconds: float) -> None:
        """Move every client, spread over this time; whoever is not up by then gets the final answer."""
        end = asyncio.get_running_loop().time() + seconds
        while self.core.rpcs and (left := end - asyncio.get_running_loop().time()) > 0:
            standing = [channel for channel in self.channels.values() if channel.standing]
            if standing:
                standing[0].end(DRAIN)
            await asyncio.sleep(min(0.1, left / (len(standing) + 1)))
        self.core.tell(api.Closing())
        while self.core.rpcs:  # a few may have come up in this instant
            for channel in self.channels.values():
                channel.end(DRAIN)
            await asyncio.sleep(0.02)
        if self.channels:  # some are still taking their last line; the silent ones are not waited for
            await asyncio.wait(self.channels, timeout=LINGER)
