"""The listening socket: binding is retried while the address is in use, but after no other error."""

import asyncio
import socket

import pytest

from wheatstile.process.listener_socket import BIND_RETRY_S, bind_listener

ANY_PORT = ("127.0.0.1", 0)


def test_free_address_is_bound_to_a_non_blocking_socket() -> None:
    async def main() -> None:
        listener = await bind_listener(ANY_PORT, asyncio.Event())
        assert listener is not None
        with listener, pytest.raises(BlockingIOError):
            listener.accept()

    asyncio.run(main())


def test_address_in_use_is_bound_after_the_other_socket_closes() -> None:
    async def main() -> None:
        with socket.create_server(ANY_PORT) as other:
            address = other.getsockname()
            binding = asyncio.create_task(bind_listener(address, asyncio.Event()))
            await asyncio.sleep(3 * BIND_RETRY_S)
            assert not binding.done()
        listener = await binding
        assert listener is not None
        with listener:
            assert listener.getsockname() == address

    asyncio.run(main())


def test_shutdown_request_ends_the_retries() -> None:
    async def main() -> None:
        shutdown_requested = asyncio.Event()
        with socket.create_server(ANY_PORT) as other:
            binding = asyncio.create_task(bind_listener(other.getsockname(), shutdown_requested))
            await asyncio.sleep(0)
            shutdown_requested.set()
            assert await binding is None

    asyncio.run(main())


def test_error_other_than_an_address_in_use_is_raised_at_once() -> None:
    async def main() -> None:
        with pytest.raises(OSError, match="assign"):
            await bind_listener(("192.0.2.1", 1), asyncio.Event())

    asyncio.run(main())
