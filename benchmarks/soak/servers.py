"""Servers of the soak test. They answer attempts with all outcomes of the protocol, crash, hang and drain."""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
import time

from soak.records import Attempt, Outcome, RunRecord
from wheatstile.net.line_stream import RESET_ON_CLOSE

LOOPBACK = "127.0.0.1"
MAX_ANSWER_DELAY_S = 0.03
MIN_SLOW_ANSWER_DELAY_S = 0.3
MAX_SLOW_ANSWER_DELAY_S = 2.5
SESSION_END_PROBABILITY = 0.02  # applies to each echoed line
LOAD_LINE_PROBABILITY = 0.1  # applies to each echoed line
FULL_LOAD_CONNECTIONS = 40  # number of connections at which a server reports a load of 1
MS_PER_S = 1000
OUTCOME_WEIGHTS = {
    Outcome.ESTABLISHED: 0.80,
    Outcome.OVERLOADED: 0.07,
    Outcome.ERROR: 0.05,
    Outcome.RESET: 0.05,
    Outcome.NO_ANSWER: 0.03,
}
SLOW_ANSWER_PROBABILITY = 0.06


class SoakServer:
    """One server in the endpoint list. It keeps its port after a simulated restart.

    Attributes:
        phase: the phase in the endpoint list.
        up_since_ms: time of the last start, as Unix time in milliseconds; 0: started long ago.
    """

    def __init__(self, name: str, record: RunRecord, rng: random.Random) -> None:
        self.name = name
        self.phase = "ready"
        self.up_since_ms = 0
        self.port = 0
        self._record = record
        self._rng = rng
        self._receipts = itertools.count()
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.StreamWriter, Attempt | None] = {}
        self._responsive = asyncio.Event()
        self._responsive.set()

    async def start(self) -> None:
        """Listen on a free port at the first start, and on the same port later."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def restart(self) -> None:
        """Start again, with the current time as the start time in the endpoint list."""
        self.up_since_ms = int(time.time() * MS_PER_S)
        await self.start()

    def crash(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server:
            self._server.close()
        for writer, attempt in list(self._connections.items()):
            self._close_connection(writer, attempt, reset=True)

    async def hang(self, duration_s: float) -> None:
        """Send no answers for this duration."""
        begin_s = asyncio.get_running_loop().time()
        self._responsive.clear()
        await asyncio.sleep(duration_s)
        self._responsive.set()
        self._record.unresponsive_periods.append((self.name, begin_s, begin_s + duration_s))

    def migrate_clients(self) -> None:
        """Send MOVE on about half of the sessions, as a draining server may."""
        for writer, attempt in list(self._connections.items()):
            if attempt and attempt.outcome is Outcome.ESTABLISHED and self._rng.random() < 0.5:
                writer.write(b"MOVE\r\n")
                self._close_connection(writer, attempt)

    def member(self) -> dict[str, object]:
        """Return the entry of this server in the endpoint list."""
        return {
            "id": self.name,
            "host_port": f"{LOOPBACK}:{self.port}",
            "locality": "here",
            "flavor": "m",
            "cell": 0,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.up_since_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections[writer] = None
        try:
            while line := await reader.readline():
                if line.startswith(b"OPEN "):
                    await self._serve_attempt(line, reader, writer)
                    return
                await self._responsive.wait()
                load = len(self._connections) / FULL_LOAD_CONNECTIONS
                writer.write(b"PONG x0=%.2f\r\n" % load)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._close_connection(writer, self._connections.get(writer), by_server=False)

    def _close_connection(
        self,
        writer: asyncio.StreamWriter,
        attempt: Attempt | None,
        *,
        reset: bool = False,
        by_server: bool = True,
    ) -> None:
        """Close a connection. The first call for an attempt records the time and the side that ended it."""
        self._connections.pop(writer, None)
        if attempt and attempt.ended_at_s is None:
            attempt.ended_at_s = asyncio.get_running_loop().time()
            attempt.ended_by_server = by_server
        if reset and not writer.is_closing():
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        else:
            writer.close()

    async def _serve_attempt(
        self, line: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        id = line.split()[1].decode()
        receipt = f"{self.name}-{next(self._receipts)}"
        attempt = Attempt(id, self.name, asyncio.get_running_loop().time(), receipt)
        self._record.attempts.append(attempt)
        self._connections[writer] = attempt
        outcome = self._rng.choices(list(OUTCOME_WEIGHTS), list(OUTCOME_WEIGHTS.values()))[0]
        if not await self._wait_before_answer(reader, outcome):
            return
        attempt.outcome = outcome
        match outcome:
            case Outcome.ESTABLISHED:
                writer.write(f"UP {receipt}\r\n".encode())
                await self._echo(attempt, reader, writer)
            case Outcome.OVERLOADED | Outcome.ERROR:
                writer.write(f"{outcome}\r\n".encode())
                self._close_connection(writer, attempt)
            case _:
                self._close_connection(writer, attempt, reset=True)

    async def _wait_before_answer(self, reader: asyncio.StreamReader, outcome: Outcome) -> bool:
        """Wait until the answer is due. Return False if the balancer closes the connection first."""
        answer_due = asyncio.create_task(self._delay_answer(outcome))
        balancer_closed = asyncio.create_task(reader.read(1))
        tasks = (answer_due, balancer_closed)
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        return not answer_due.cancelled()

    async def _delay_answer(self, outcome: Outcome) -> None:
        """Wait until an answer with this outcome is due. Never return if there is to be no answer."""
        if outcome is Outcome.NO_ANSWER:
            await asyncio.Event().wait()
        is_slow = self._rng.random() < SLOW_ANSWER_PROBABILITY
        delay_range_s = (
            (MIN_SLOW_ANSWER_DELAY_S, MAX_SLOW_ANSWER_DELAY_S) if is_slow else (0.0, MAX_ANSWER_DELAY_S)
        )
        await asyncio.sleep(self._rng.uniform(*delay_range_s))
        await self._responsive.wait()

    async def _echo(
        self, attempt: Attempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Echo each line of the client. Sometimes add a load report or end the session."""
        while line := await reader.readline():
            await self._responsive.wait()
            if writer not in self._connections:
                return
            if self._rng.random() < SESSION_END_PROBABILITY:
                writer.write(line + b"BYE\r\n")
                self._close_connection(writer, attempt)
                return
            writer.write(line)
            if self._rng.random() < LOAD_LINE_PROBABILITY:
                writer.write(b"LOAD %.2f\r\n" % self._rng.random())

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        self._responsive.set()
        self.crash()


def reserve_port() -> socket.socket:
    """Return a socket that is bound to a free port and does not listen.

    Until the caller closes it, the kernel gives the port to no other socket that asks for any free port. A
    process can still listen on the port if it sets SO_REUSEADDR.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((LOOPBACK, 0))
    return reservation
