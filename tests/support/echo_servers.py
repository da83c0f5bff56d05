"""Echo servers in a thread, which establish every session and answer health checks."""

import asyncio
import threading
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable

HEALTHY = b"PONG x0=0.3\r\n"
SESSION_ESTABLISHED = b"UP r\r\n"

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class EchoServers:
    """Servers on loopback, each on its own port, on one event loop in a thread.

    A server answers each `STATS` with the same load and each `OPEN` with `UP`, and sends any other line back.
    The constructor starts the thread, and returns once all ports are open. `close` ends the connections and
    the thread.

    Attributes:
        opened: the number of established sessions, by the name of the server.
        addresses: the address (`HOST:PORT`), by the name of the server.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self.opened: Counter[str] = Counter()
        self.addresses: dict[str, str] = {}
        self._loop = asyncio.new_event_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._listen(list(names)), self._loop).result()

    def close(self) -> None:
        """End all connections and the thread."""
        asyncio.run_coroutine_threadsafe(self._cancel_connections(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _listen(self, names: list[str]) -> None:
        for name in names:
            server = await asyncio.start_server(self._connection_handler(name), "127.0.0.1", 0)
            self.addresses[name] = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def _connection_handler(self, name: str) -> ConnectionHandler:
        """Return the callback for the connections of one server."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task
            self._tasks.add(task)
            try:
                while line := await reader.readline():
                    writer.write(self._reply(name, line))
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                self._tasks.discard(task)
                writer.close()

        return serve

    def _reply(self, name: str, line: bytes) -> bytes:
        """Return the reply of this server to a line. Counts the session if the line opens one."""
        if line.startswith(b"STATS"):
            return HEALTHY
        if line.startswith(b"OPEN "):
            self.opened[name] += 1
            return SESSION_ESTABLISHED
        return line

    async def _cancel_connections(self) -> None:
        """Cancel the tasks of all connections, and let them run once more so that they end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.sleep(0)
