"""Creation of the listening socket, with retries while the previous process still uses the address."""

import asyncio
import errno
import socket
from contextlib import suppress

import structlog

log = structlog.get_logger()

BACKLOG = 1024  # maximum number of connections that the kernel queues until they are accepted
BIND_TIMEOUT_S = 6.0  # longer than any graceful shutdown of the previous process
BIND_RETRY_S = 0.05  # interval between attempts to bind


async def bind_listener(address: tuple[str, int], shutdown_requested: asyncio.Event) -> socket.socket | None:
    """Return a non-blocking socket that listens on `address`, or None if a shutdown is requested first.

    While the address is in use, retries for BIND_TIMEOUT_S. Raises OSError when that time is over, and at
    once for any other error.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + BIND_TIMEOUT_S
    is_logged = False
    while True:
        try:
            return _create_listener(address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or loop.time() > deadline_s:
                raise
        if not is_logged:
            log.warning("bind_address_in_use", address=f"{address[0]}:{address[1]}", timeout_s=BIND_TIMEOUT_S)
            is_logged = True
        with suppress(TimeoutError):
            async with asyncio.timeout(BIND_RETRY_S):
                await shutdown_requested.wait()
            return None


def _create_listener(address: tuple[str, int]) -> socket.socket:
    listener = socket.create_server(address, backlog=BACKLOG)
    listener.setblocking(False)
    return listener
