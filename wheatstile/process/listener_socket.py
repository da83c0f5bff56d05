"""The listening socket, bound also while a predecessor that is about to exit still holds the address."""

import asyncio
import errno
import socket
from contextlib import suppress

import structlog

log = structlog.get_logger()

BACKLOG = 1024  # connections that the kernel queues until they are accepted
BIND_TIMEOUT_S = 6.0  # more than the longest graceful shutdown, after which a predecessor's address is free
BIND_RETRY_S = 0.05


async def bind_listener(address: tuple[str, int], shutdown_requested: asyncio.Event) -> socket.socket | None:
    """Listen on `address`, and retry for BIND_TIMEOUT_S while another process holds it.

    Returns None if a shutdown is requested meanwhile: nobody has been served yet, so nothing is to be done.
    Raises OSError when the address cannot be bound, at once for any cause but an address in use.
    """
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + BIND_TIMEOUT_S
    is_logged = False
    while True:
        try:
            return _create_listener(address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or loop.time() > give_up_at:
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
