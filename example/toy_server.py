"""Two toy servers and a toy discovery for the example's balancer, all on loopback.

Each server answers PING and STATS, gives every OPEN its UP, and returns each line that comes after it. Start
this, then the balancer (make run), then be a client:

    printf 'OPEN 9b1f03aa5c7e2d41 me c=chat,d=2000,g=us\\r\\nhello\\r\\n' with a pause between the two lines
"""

import asyncio
import json

SERVERS = {"toy-1": 9001, "toy-2": 9002}
DISCOVERY = 8500


def members() -> bytes:
    rows = [
        {
            "id": name, "host_port": f"127.0.0.1:{port}", "locality": "home", "flavor": "toy", "cell": 0,
            "phase": "ready", "size": 1.0, "up_since_ms": 0,
        }
        for name, port in SERVERS.items()
    ]  # fmt: skip
    return json.dumps({"revision": 1, "complete": True, "members": rows}).encode()


class ToyServer:
    def __init__(self, name: str) -> None:
        self.name, self.open = name, 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        up = False
        try:
            while line := (await reader.readline()).decode().strip():
                if up:
                    answer = line
                elif line == "PING":
                    answer = "PONG"
                elif line == "STATS":
                    answer = f"PONG x0={self.open / 20}"
                elif line.startswith("OPEN "):
                    answer, up = f"UP {self.name}", True
                    self.open += 1
                else:
                    answer = "SYNTAX"
                writer.write(f"{answer}\r\n".encode())
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.open -= up
            writer.close()


async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """The whole list, and on a watch an empty line every 2 s after it: nothing ever changes here."""
    ask = await reader.readuntil(b"\r\n\r\n")
    try:
        if b"watch=1" not in ask:
            body = members()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            return await writer.drain()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = members() + b"\n"
        while True:
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            await writer.drain()
            await asyncio.sleep(2)
            line = b"\n"
    except ConnectionError:
        pass
    finally:
        writer.close()


async def main() -> None:
    for name, port in SERVERS.items():
        await asyncio.start_server(ToyServer(name).serve, "127.0.0.1", port)
    async with await asyncio.start_server(discovery, "127.0.0.1", DISCOVERY) as server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
