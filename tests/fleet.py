"""Stand-in servers that answer by themselves, in a thread of their own: for load, not for scripted cases."""

import asyncio
import queue
import subprocess
import sys
import threading
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable


class Fleet:
    """Servers on loopback, each on its own port: every OPEN is UP at once, every later line comes back."""

    def __init__(self, names: Iterable[str]) -> None:
        self.opened: Counter[str] = Counter()
        self.addresses: dict[str, str] = {}
        self._loop = asyncio.new_event_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._listen(list(names)), self._loop).result()

    async def _listen(self, names: list[str]) -> None:
        for name in names:
            server = await asyncio.start_server(self._answerer(name), "127.0.0.1", 0)
            self.addresses[name] = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def _answerer(self, name: str) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task
            self._tasks.add(task)
            try:
                while line := await reader.readline():
                    if line.startswith(b"STATS"):
                        line = b"PONG x0=0.3\r\n"
                    elif line.startswith(b"OPEN "):
                        self.opened[name] += 1
                        line = b"UP r\r\n"
                    writer.write(line)
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                self._tasks.discard(task)
                writer.close()

        return serve

    def close(self) -> None:
        """Close all connections, and end the thread."""

        async def end() -> None:
            for task in self._tasks:
                task.cancel()
            await asyncio.sleep(0)

        asyncio.run_coroutine_threadsafe(end(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()


class Program:
    """One process of the program (`python -m wheatstile ARGS`), its lines on standard output in a queue.

    `expect` waits on a line, not on time; signals go to this process alone, by its id.
    """

    def __init__(self, *args: str) -> None:
        self.lines: queue.Queue[str] = queue.Queue()
        self.history: list[str] = []  # every line, for the checkers over histories
        self.process = subprocess.Popen(
            [sys.executable, "-m", "wheatstile", *args],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            bufsize=1,
        )
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self) -> None:
        assert self.process.stdout
        for line in self.process.stdout:
            self.history.append(line.rstrip("\n"))
            self.lines.put(line.rstrip("\n"))
        self.lines.put("<end>")

    def expect(self, prefix: str, within: float = 60.0) -> str:
        """Return the next line that starts with `prefix`; the bound is against a hang, no verdict."""
        while True:
            line = self.lines.get(timeout=within)
            if line.startswith(prefix) or line == "<end>":
                assert line != "<end>", f"the process ended before {prefix!r}"
                return line

    def tell(self, line: str) -> str:
        """Send one command line; returns its answer."""
        assert self.process.stdin
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()
        return self.expect("")

    def rest(self) -> list[str]:
        """Return all lines of a process that has ended."""
        self._reader.join()
        return self.history

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        self.process.send_signal(number)

    def close(self) -> int:
        """End the process by closing its input, then by SIGKILL if it does not; returns its exit status."""
        if self.process.stdin:
            self.process.stdin.close()
        try:
            return self.process.wait(timeout=30)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()
