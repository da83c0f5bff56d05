"""The connections of one balancer, by id and by phase."""

from collections.abc import Collection

from wheatstile.decisions.connection import Connection, ConnectionPhase, FirstForward
from wheatstile.decisions.server import Server
from wheatstile.interface import AttemptOutcome

_WAITING = ConnectionPhase.WAITING  # cached: access to an enumeration's member is slow in Python 3.11
_ATTEMPTING = ConnectionPhase.ATTEMPTING
_ESTABLISHED = ConnectionPhase.ESTABLISHED
_ENDED = ConnectionPhase.ENDED


class ConnectionTable:
    """Requests without an answer, and open connections. Records their phases and attempts."""

    def __init__(self) -> None:
        self._by_id: dict[str, Connection] = {}
        self._established: dict[Connection, None] = {}  # an ordered set

    def __len__(self) -> int:
        """Return the number of requests without an answer and of open connections."""
        return len(self._by_id)

    def __contains__(self, id: str) -> bool:
        return id in self._by_id

    def get(self, id: str) -> Connection | None:
        """Return the connection with this id, unless it has ended."""
        return self._by_id.get(id)

    def add(self, connection: Connection) -> None:
        """Add a request."""
        self._by_id[connection.id] = connection

    def begin_attempt(self, connection: Connection, server: Server) -> None:
        """Record that an attempt at a server is in flight."""
        connection.phase = _ATTEMPTING
        connection.server = server
        connection.candidates = []
        connection.attempts += 1

    def end_attempt(self, connection: Connection, outcome: AttemptOutcome, started_at_us: int) -> None:
        """Record that the attempt in flight has failed, and the request waits again."""
        connection.phase = _WAITING
        connection.is_repeated_setup = True
        if connection.server and not connection.first_forward and outcome.may_have_run:
            connection.first_forward = FirstForward(started_at_us, connection.server)

    def establish(self, connection: Connection, now_us: int) -> None:
        """Record that the attempt in flight has succeeded, and the connection is open."""
        connection.phase = _ESTABLISHED
        connection.established_at_us = now_us
        self._established[connection] = None

    def restore(self, connection: Connection, server: Server) -> None:
        """Record a connection that was open at a server before this balancer started."""
        self.add(connection)
        connection.phase = _ESTABLISHED
        connection.server = server
        connection.attempts = 1
        self._established[connection] = None

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has its final answer, is closed, or whose client has disconnected."""
        connection.phase = _ENDED
        self._by_id.pop(connection.id, None)
        self._established.pop(connection, None)

    @property
    def established(self) -> Collection[Connection]:
        """The open connections, in the order in which they were established."""
        return self._established.keys()

    def established_at(self, server: Server) -> list[Connection]:
        """Return the open connections of this server."""
        return [connection for connection in self._established if connection.server is server]

    def unanswered(self) -> list[Connection]:
        """Return the requests that have no final answer yet."""
        return [connection for connection in self._by_id.values() if connection not in self._established]
