"""HTTP client for discovery. Each call uses its own connection."""

import asyncio
import socket
from collections.abc import AsyncGenerator

from wheatstile.config.endpoints import EndpointSnapshot
from wheatstile.net.endpoint_stream import DiscoveryError, EndpointStreamDecoder, Keepalive, ResponseStarted

HOSTS_PATH = "/discovery/hosts"
RESPONSE_TIMEOUT_S = 5.0  # maximum time from the start of a call to the headers of the response
# Maximum time between two messages; discovery sends a keepalive every 2 s. Discovery counts a change
# as delivered after 6 s: the other 3 s are for the backoff (at most 1.5 s) and the next call.
IDLE_TIMEOUT_S = 3.0
RECEIVE_BUFFER_BYTES = 16384

Address = tuple[str, int]


def fetch_endpoints(address: Address) -> AsyncGenerator[EndpointSnapshot | Keepalive, None]:
    """Request the complete endpoint list. Yield one message.

    Raises the same errors as `watch_endpoints`.
    """
    return _call(address, HOSTS_PATH, is_stream=False)


def watch_endpoints(
    address: Address, after_revision: int
) -> AsyncGenerator[EndpointSnapshot | Keepalive, None]:
    """Watch the endpoint list for changes after a revision. Yield messages until the call fails.

    Raises DiscoveryError, OSError or TimeoutError when the call fails. Only complete messages reset the idle
    timeout, so a list that never ends does not keep the call open.
    """
    return _call(address, f"{HOSTS_PATH}?watch=1&after={after_revision}", is_stream=True)


async def _call(
    address: Address, path: str, *, is_stream: bool
) -> AsyncGenerator[EndpointSnapshot | Keepalive, None]:
    loop = asyncio.get_running_loop()
    decoder = EndpointStreamDecoder(is_stream=is_stream)
    buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setblocking(False)
        deadline_s = loop.time() + RESPONSE_TIMEOUT_S
        async with asyncio.timeout_at(deadline_s):
            await loop.sock_connect(sock, address)
            await loop.sock_sendall(sock, _request(address, path))
        while not decoder.is_complete:
            async with asyncio.timeout_at(deadline_s):
                count = await loop.sock_recv_into(sock, buffer)
            if not count:
                raise DiscoveryError("discovery closed the connection before the end of its response")
            has_message = False
            for message in decoder.receive(buffer[:count]):
                has_message = True
                if not isinstance(message, ResponseStarted):
                    yield message
            if has_message:
                deadline_s = loop.time() + IDLE_TIMEOUT_S


def _request(address: Address, path: str) -> bytes:
    host, port = address
    return f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()
