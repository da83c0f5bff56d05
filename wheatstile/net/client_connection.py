"""A client's channel: its first line, the RPC that it asks for, the answer, and the relay."""

import asyncio
import socket
from collections.abc import Callable, Coroutine
from contextlib import suppress
from math import isfinite
from typing import Any, Protocol, TypeVar

from wheatstile import interface as api
from wheatstile.config.platform import ClientLimits
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.line_stream import LINGER, LineStream, LineTooLongError
from wheatstile.net.open_request import OpenRequest, ProtocolError
from wheatstile.net.upstream_pool import Attempt, UpstreamPool, verdict_of

T = TypeVar("T")

FIRST_LINE_WITHIN = 2.0  # seconds for a channel's first line: clients send it at once, and are answered in 3
REOPEN_WITHIN = 40.0  # seconds in which a connection from before the run has to be up again
LATE = 0.02  # seconds past its client's time after which an RPC that nobody answered is failed here
STAY_AWAY = 1000  # milliseconds that a client is told to when descriptors run out, or the balancer ends
NEVER_RAN = ("overloaded", "connect_failed", "not_sent")  # outcomes that prove it of an attempt
SILENT, DRAIN = "silent server", "drain"  # why a client is moved, beside the module's decision


class Front(Protocol):
    """What a channel needs of the front that accepted it."""

    decisions: DecisionLoop
    upstreams: UpstreamPool
    limits: ClientLimits

    def seen(self, id: str) -> bool:
        """Whether this id has come before."""

    def longest(self, first: OpenRequest) -> int:
        """The milliseconds that this client waits at most."""

    def full(self) -> bool:
        """Whether there is no room for another RPC."""

    def admit(self, channel: "ClientConnection") -> None:
        """The channel has asked for an RPC."""

    def release(self, channel: "ClientConnection") -> None:
        """Its RPC is over."""

    def unavailable(self, milliseconds: int) -> bytes:
        """The unavailable status as a line."""


class ClientDisconnectedError(Exception):
    """The client's side of the connection has ended."""

    def __init__(self, reset: bool = False) -> None:
        self.reset = reset


class ClientConnection:
    """One client's connection and the RPC that it asks for. Owns both sides' sockets from accept to close."""

    def __init__(self, front: Front, sock: socket.socket) -> None:
        self.front, self.decisions = front, front.decisions
        self.lines = LineStream(sock)
        self.task: asyncio.Task[None]  # its whole life
        self.id = ""
        self.number = 0  # of the attempt
        self.attempt: Attempt | None = None
        self.up = False
        self._decisions: asyncio.Queue[api.StartAttempt | api.Reject | api.Fail] = asyncio.Queue()
        self._answered = asyncio.Event()  # the module has said its last, maybe while an attempt is out
        self._ending: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._reader: asyncio.Task[None] | None = None
        self._to_client = asyncio.Lock()  # held while lines go out, so that MOVE goes between two
        self._unsent = b""  # of UP
        self._farewell = b""  # the server's last line, if it has gone to the client as its last
        self._first_line_by: asyncio.Timeout | None = None
        self._turned_away = False

    def decide(self, action: api.StartAttempt | api.Reject | api.Fail | api.Migrate) -> None:
        if isinstance(action, api.Migrate):
            self.end("by decision")
        else:
            self._decisions.put_nowait(action)
            if not isinstance(action, api.StartAttempt):
                self._answered.set()

    @property
    def standing(self) -> bool:
        """Whether the RPC is up and not about to be moved."""
        return self.up and not self._ending.done()

    def end(self, reason: str) -> None:
        """Have an open connection ended with MOVE."""
        if not self._ending.done():
            self._ending.set_result(reason)

    def turn_away(self) -> None:
        """The balancer ends: a client that has asked for nothing yet is not waited for any longer."""
        if self._first_line_by and not self._first_line_by.expired():
            self._first_line_by.reschedule(asyncio.get_running_loop().time())
        self._turned_away = True

    def unanswered(self, now: int) -> int:
        """For how long a line of the client's has waited for the server."""
        asked_at = self.attempt.upstream.open.get(self.id, 0) if self.up and self.attempt else 0
        return now - asked_at if asked_at else 0

    async def run(self) -> None:
        """The channel's whole life; both sockets are given back here and nowhere else."""
        reset = False
        try:
            last = await self._serve()
            await self._stop_reading()
            await self.lines.finish(last)
        except ClientDisconnectedError as ended:
            reset = ended.reset
        except ProtocolError:
            self.decisions.counters["malformed"] += 1
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
            self.attempt.upstream.open.pop(self.id, None)
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

    def _check_waiting(self) -> None:
        """Raise if the client waits no more. Its end may have come in this very turn, unread: nothing may be
        done for it then, and least of all be sent on."""
        try:
            unread = self.lines.peek()
        except OSError:
            raise ClientDisconnectedError(reset=True) from None
        if unread is not None:  # a client waits after its first line
            raise ProtocolError if unread else ClientDisconnectedError

    async def _serve(self) -> bytes:
        """Read the first line and serve what it asks; the last line that the client is owed, if any."""
        line = await self._first_line()
        if not line:
            self.decisions.counters["turned away"] += 1
            return self.front.unavailable(STAY_AWAY)
        first = OpenRequest.read(line)
        if first.fields["c"] not in self.front.limits.deadlines_ms or self.front.seen(first.id):
            raise ProtocolError
        if self.front.full():
            self.decisions.counters["unavailable, no descriptors"] += 1
            return self.front.unavailable(STAY_AWAY)
        self.id = first.id
        self.front.admit(self)
        self._reader = asyncio.create_task(self._read_channel())
        try:
            last = await self._set_up_in_time(first)
            return last if last else await self._relay()
        finally:
            self.front.release(self)

    async def _first_line(self) -> bytes:
        """Empty for a client that is turned away before it has asked for anything."""
        line = b""
        try:
            while not self._turned_away:
                try:
                    async with asyncio.timeout(FIRST_LINE_WITHIN) as self._first_line_by:
                        line = await self.lines.read_line(cancel_safe=True)
                finally:
                    self._first_line_by = None
                if line != b"PING\r\n" or self.lines.pending:
                    break
                self.decisions.counters["pings"] += 1
                await self.lines.send(b"PONG\r\n")
                line = b""
                await self._rest()
        except TimeoutError:
            if not self._turned_away:
                raise ProtocolError from None
        except LineTooLongError:
            raise ProtocolError from None
        except OSError:
            raise ClientDisconnectedError(reset=True) from None
        if self._turned_away and not line:
            return b""
        if not line:
            raise ClientDisconnectedError
        if self.lines.pending:  # a client waits after its first line
            raise ProtocolError
        self._check_waiting()
        return line

    async def _rest(self) -> None:
        """Wait for a client that has been told PONG and may ask for something, or may not.

        What it asks in the very moment in which its time is up stays unread: it is answered, not closed over.
        """
        try:
            async with asyncio.timeout(FIRST_LINE_WITHIN) as self._first_line_by:
                await self.lines.readable()
        except TimeoutError:
            if self.lines.peek() is None:
                raise ClientDisconnectedError from None
        finally:
            self._first_line_by = None

    async def _set_up_in_time(self, first: OpenRequest) -> bytes:
        """Empty once the RPC is up, else its final answer."""
        self.decisions.counters["RPCs"] += 1
        try:
            longest = REOPEN_WITHIN * 1000 if "at" in first.fields else self.front.longest(first)
            async with asyncio.timeout(min(first.wait, longest) / 1000 + LATE):
                return await (self._reopen(first) if "at" in first.fields else self._set_up(first))
        except TimeoutError:
            # The module answers before a client's time is up; should it not, nobody is left without answer.
            self.decisions.counters["overdue"] += 1
            self.decisions.dispatch(api.ClientDisconnected(self.id))
            return b"ERR\r\n"
        except (ClientDisconnectedError, ProtocolError):
            self.decisions.counters["clients left early"] += 1
            self.decisions.dispatch(api.ClientDisconnected(self.id))
            raise

    async def _set_up(self, first: OpenRequest) -> bytes:
        """Do as the module decides until the RPC is up or has its final answer."""
        longest = self.front.longest(first)  # taken once: a reload may take the class away meanwhile
        window = self.decisions.repeat_window(first.fields["c"])
        repeat_until: int | None = None
        self.decisions.dispatch(first.request(longest))
        while True:
            action = await self._unless_left(self._decisions.get())
            if isinstance(action, api.Reject):
                self.decisions.counters["unavailable"] += 1
                return self.front.unavailable(-(-action.retry_after_us // 1000))
            if isinstance(action, api.Fail):
                self.decisions.counters["failed"] += 1
                return b"ERR\r\n"
            if self._answered.is_set():
                continue  # given up on before it was sent: the answer is the next
            start = self.decisions.now()
            timeout = (action.timeout_us or longest * 1000) / 1e6
            outcome, line = await self._try(first.with_wait, action.server, timeout, repeat_until)
            elapsed = self.decisions.now() - start
            if outcome == "up":
                self._send_up(line)
                if self._answered.is_set():  # the module gave up in the same turn, and has forgotten it
                    self.number = 0
                    self.decisions.dispatch(
                        api.ExistingConnection(self.id, first.fields["c"], action.server, first.key)
                    )
                else:
                    self.decisions.dispatch(api.Established(self.id, self.number, action.server, elapsed))
                return b""
            report = self.attempt.report if self.attempt else None
            self._drop_attempt()  # before the module can ask for the next
            if window is not None and repeat_until is None and outcome not in NEVER_RAN:
                repeat_until = start + window
            closed = outcome == "ok"
            self.decisions.dispatch(
                api.AttemptEnded(
                    self.id, self.number, action.server, api.AttemptOutcome(outcome), elapsed, closed, report
                )
            )
            if closed:
                return line
            self.number += 1

    async def _reopen(self, first: OpenRequest) -> bytes:
        """A connection that was open at a server before the run: the module hears of it once it is up."""
        server, within = first.fields["at"], min(first.wait / 1000, REOPEN_WITHIN)
        # All balancers reopen all their connections at once, and a packet lost then comes again after 1 s.
        as_is = first.with_wait(first.wait)
        outcome, line = await self._try(lambda _: as_is, server, within, patient=True)
        if outcome == "up":
            self._send_up(line)
            self.decisions.dispatch(api.ExistingConnection(self.id, first.fields["c"], server, first.key))
            return b""
        self.decisions.counters[f"not reopened, {outcome}"] += (
            1  # no log line for each: any client can write at=
        )
        return b"ERR\r\n"

    async def _try(
        self,
        first_line: Callable[[int], bytes],
        server: str,
        timeout: float,
        until: int | None = None,
        patient: bool = False,
    ) -> tuple[str, bytes]:
        """One attempt. The one before it was closed when it ended, so that there are never two.

        Nothing is sent at `until` or later, however long its connection took to come up.
        """
        self._check_waiting()
        self.attempt = self.front.upstreams.attempt(server)
        if self.attempt is None:
            return "connect_failed", b""

        def still_wanted(wait: int) -> bytes | None:
            self._check_waiting()
            too_late = until is not None and self.decisions.now() >= until
            return None if self._answered.is_set() or too_late else first_line(wait)

        run = asyncio.create_task(self.attempt.run(still_wanted, timeout, patient))
        answered = asyncio.create_task(self._answered.wait())
        try:
            await self._unless_left(_first_of(run, answered))
            outcome, line = run.result() if run.done() else ("cancelled", b"")
        finally:
            run.cancel()
            answered.cancel()
            await asyncio.wait([run, answered])
            if not run.cancelled():
                run.exception()  # that the client has left may be known from the reader already
        self.decisions.counters[f"attempt {outcome}"] += 1
        return outcome, line

    def _send_up(self, line: bytes) -> None:
        """In one turn: were its time out in between, the client would get a second final answer."""
        assert self.attempt
        self.attempt.upstream.open[self.id] = 0
        self.up = True  # from here on the reader passes the client's lines on
        try:
            self._unsent = self.lines.send_now(line)
        except OSError:
            raise ClientDisconnectedError(reset=True) from None

    async def _relay(self) -> bytes:
        """Pass lines on until either side ends or the connection is to be moved; the client's last line."""
        assert self.attempt
        server, start = self.attempt.upstream.name, self.decisions.now()
        outcome, report, reset = "cancelled", None, False
        pump = asyncio.create_task(self._pump())
        try:
            try:
                await self._unless_left(_first_of(pump, self._ending))
            except ProtocolError:
                last = b"ERR\r\n"
            else:
                if pump.done():
                    outcome, report, reset = pump.result()
                    if reset:
                        raise ClientDisconnectedError(reset=True)
                    return b""
                last = b"MOVE\r\n"
                outcome = "reset" if self._ending.result() == SILENT else "cancelled"
            async with asyncio.timeout(LINGER):
                await self._to_client.acquire()  # and keep it: no further line may follow the last
            if self._farewell:  # the server's last line was on its way
                outcome, report = verdict_of(self._farewell)
                return b""
            if last == b"MOVE\r\n":
                self.decisions.counters[f"MOVE, {self._ending.result()}"] += 1
            return last
        except TimeoutError:  # a client that takes nothing stands in the middle of a line
            reset = True
            raise ClientDisconnectedError(reset=True) from None
        except ClientDisconnectedError as ended:
            reset = ended.reset
            raise
        finally:
            pump.cancel()
            await asyncio.wait([pump])
            self._drop_attempt(reset)
            self.front.release(self)
            self.decisions.counters[f"connection {outcome}"] += 1
            elapsed = self.decisions.now() - start
            self.decisions.dispatch(
                api.AttemptEnded(
                    self.id, self.number, server, api.AttemptOutcome(outcome), elapsed, True, report
                )
            )

    async def _pump(self) -> tuple[str, api.LoadReport | None, bool]:
        """The server's lines to the client, whole ones only; how the server ended it, and if by a reset."""
        assert self.attempt and self.attempt.lines
        upstream, last = self.attempt.upstream, b""
        reset = False
        while True:
            lines, self._unsent = self._unsent, b""
            try:
                lines = lines or await self.attempt.lines.read_lines()
            except OSError:
                lines, reset = b"", True
            except LineTooLongError:
                return "error", None, False
            if not lines:
                break
            for line in lines.splitlines():
                word, _, rest = line.partition(b" ")
                if word == b"LOAD":
                    self._note_load(rest)
                elif word not in (b"BYE", b"MOVE"):
                    upstream.answered(self.id, self.decisions.now())
                last = line
            try:
                async with self._to_client:
                    await self.lines.send(lines)
                    self._farewell = last if last.startswith((b"BYE", b"MOVE")) else b""
            except OSError:
                raise ClientDisconnectedError(reset=True) from None
        outcome, report = verdict_of(self._farewell) if self._farewell else ("reset", None)
        return outcome, report, reset and outcome == "reset"

    def _note_load(self, text: bytes) -> None:
        assert self.attempt
        try:
            load = float(text)
        except ValueError:
            return
        if load >= 0 and isfinite(load):
            self.decisions.dispatch(api.ConnectionLoadChanged(self.id, self.attempt.upstream.name, load))

    async def _read_channel(self) -> None:
        """The client's lines to the server, once it is up. Ends only with the client's side."""
        try:
            while lines := await self.lines.read_lines():
                if not self.up:
                    raise ProtocolError
                if self.attempt and self.attempt.lines:
                    self.attempt.upstream.asked(self.id, self.decisions.now())
                    with suppress(OSError):  # the server's end is for the pump to see
                        await self.attempt.lines.send(lines)
        except LineTooLongError:
            raise ProtocolError from None
        except OSError:
            raise ClientDisconnectedError(reset=True) from None
        raise ClientDisconnectedError


async def _first_of(*futures: "asyncio.Future[Any]") -> None:
    await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
