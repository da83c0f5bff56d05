"""The listening socket: an address in use is waited for, any other cause is raised at once."""

import asyncio
import socket

import pytest

from wheatstile.process.listener_socket import BIND_RETRY_S, bind_listener

ANY_PORT = ("127.0.0.1", 0)


def test_a_free_address_is_bound_at_once_and_does_not_block() -> None:
    async def main() -> None:
        listener = await bind_listener(ANY_PORT, asyncio.Event())
        assert listener is not None
        with listener, pytest.raises(BlockingIOError):
            listener.accept()

    asyncio.run(main())


def test_an_address_is_bound_once_its_holder_has_closed() -> None:
    async def main() -> None:
        with socket.create_server(ANY_PORT) as holder:
            address = holder.getsockname()
            binding = asyncio.create_task(bind_listener(address, asyncio.Event()))
            await asyncio.sleep(3 * BIND_RETRY_S)
            assert not binding.done()
        listener = await binding
        assert listener is not None
        with listener:
            assert listener.getsockname() == address

    asyncio.run(main())


def test_a_shutdown_ends_the_wait() -> None:
    async def main() -> None:
        shutdown_requested = asyncio.Event()
        with socket.create_server(ANY_PORT) as holder:
            binding = asyncio.create_task(bind_listener(holder.getsockname(), shutdown_requested))
            await asyncio.sleep(0)
            shutdown_requested.set()
            assert await binding is None

    asyncio.run(main())


def test_any_other_cause_is_raised_at_once() -> None:
    async def main() -> None:
        with pytest.raises(OSError, match="assign"):
            await bind_listener(("192.0.2.1", 1), asyncio.Event())

    asyncio.run(main())
