"""Runs two toy servers and a toy discovery service for the example's balancer, all on loopback.

Each server answers PING and STATS, answers OPEN with UP, and echoes the lines that follow. Start this program
(`make servers`), then the balancer (`make run`), then a client (`make client`).
"""

import asyncio
import json

LOOPBACK = "127.0.0.1"
SERVER_PORTS = {"toy-1": 9001, "toy-2": 9002}
DISCOVERY_PORT = 8500
CAPACITY = 20
"""Number of open sessions at which a server reports a load of 1."""
KEEPALIVE_S = 2.0
"""Interval between the empty lines that keep a watch open."""


class ToyServer:
    """A toy server. Each connection carries one session, or any number of health checks."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._open_sessions = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        try:
            while line := (await reader.readline()).decode().strip():
                if line.startswith("OPEN "):
                    await self._serve_session(reader, writer)
                    return
                await send_line(writer, self._control_reply(line))
        except ConnectionError:
            pass
        finally:
            writer.close()

    def _control_reply(self, line: str) -> str:
        """Return the reply to a line that is sent outside a session."""
        match line:
            case "PING":
                return "PONG"
            case "STATS":
                return f"PONG x0={self._open_sessions / CAPACITY}"
            case _:
                return "SYNTAX"

    async def _serve_session(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Accept the session, then echo every line."""
        self._open_sessions += 1
        try:
            await send_line(writer, f"UP {self._name}")
            while line := (await reader.readline()).decode().strip():
                await send_line(writer, line)
        finally:
            self._open_sessions -= 1


async def send_line(writer: asyncio.StreamWriter, line: str) -> None:
    """Send one protocol line. Raises ConnectionError."""
    writer.write(f"{line}\r\n".encode())
    await writer.drain()


def endpoint_snapshot() -> bytes:
    """Return the complete list of servers in discovery's JSON format."""
    members = [
        {
            "id": name,
            "host_port": f"{LOOPBACK}:{port}",
            "locality": "home",
            "flavor": "toy",
            "cell": 0,
            "phase": "ready",
            "size": 1.0,
            "up_since_ms": 0,
        }
        for name, port in SERVER_PORTS.items()
    ]
    return json.dumps({"revision": 1, "complete": True, "members": members}).encode()


async def serve_discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer one discovery request with the complete list. A watch stays open."""
    request = await reader.readuntil(b"\r\n\r\n")
    try:
        if b"watch=1" in request:
            await send_watch(writer)
        else:
            body = endpoint_snapshot()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()
    except ConnectionError:
        pass
    finally:
        writer.close()


async def send_watch(writer: asyncio.StreamWriter) -> None:
    """Send the list, then keep the watch open with empty lines, since the list never changes.

    Raises ConnectionError.
    """
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    line = endpoint_snapshot() + b"\n"
    while True:
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))
        await writer.drain()
        await asyncio.sleep(KEEPALIVE_S)
        line = b"\n"


async def main() -> None:
    """Serve until interrupted."""
    for name, port in SERVER_PORTS.items():
        await asyncio.start_server(ToyServer(name).serve, LOOPBACK, port)
    async with await asyncio.start_server(serve_discovery, LOOPBACK, DISCOVERY_PORT) as server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
