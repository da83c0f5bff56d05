"""Runs the store's client commands with a `StoreClient`, and provides the options that they share."""

import asyncio
import functools
import sys
from collections.abc import Awaitable, Callable

import click

from wheatstile.cli.exit_status import ExitStatus, reject
from wheatstile.store.client import StoreClient
from wheatstile.store.errors import OutcomeUnknownError, RequestRejectedError, WatchCompactedError

MAX_PORT = 65535


def parse_ports(context: click.Context, option: click.Parameter, texts: tuple[str, ...]) -> dict[str, int]:
    """Parse the NAME=PORT values of an option. Return the ports by name. Raises click.BadParameter."""
    ports: dict[str, int] = {}
    for text in texts:
        name, _, port = text.partition("=")
        if not name or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
            raise click.BadParameter(f"{text!r} is not NAME=PORT", context, option)
        if name in ports:
            raise click.BadParameter(f"{name!r} is given twice", context, option)
        ports[name] = int(port)
    return ports


members_option = click.option(
    "--member",
    "members",
    multiple=True,
    required=True,
    metavar="NAME=PORT",
    callback=parse_ports,
    help="A member and its port for clients; repeat for each member.",
)
timeout_option = click.option(
    "--within",
    "timeout_s",
    type=click.FloatRange(0.01, 60),
    default=5.0,
    show_default=True,
    help="Timeout in seconds.",
)


def client_command(coroutine_function: Callable[..., Awaitable[ExitStatus]]) -> Callable[..., ExitStatus]:
    """Return a command function that calls a coroutine function with a client as first argument.

    Adds the options `--member` and `--within`. Exit status 1: the store rejected the request; 4: no member
    answered it. The reason is printed to standard error. An interrupt ends the command with exit status 0.
    """

    @members_option
    @timeout_option
    @functools.wraps(coroutine_function)
    def run(members: dict[str, int], timeout_s: float, **arguments: object) -> ExitStatus:
        try:
            return asyncio.run(_run_with_client(coroutine_function, members, timeout_s, arguments))
        except KeyboardInterrupt:
            return ExitStatus.OK

    return run


async def _run_with_client(
    coroutine_function: Callable[..., Awaitable[ExitStatus]],
    members: dict[str, int],
    timeout_s: float,
    arguments: dict[str, object],
) -> ExitStatus:
    client = StoreClient(members, timeout_s)
    try:
        return await coroutine_function(client, **arguments)
    except (RequestRejectedError, WatchCompactedError) as error:
        return reject([str(error)])
    except OutcomeUnknownError as error:
        print(f"outcome unknown: {error}", file=sys.stderr)
        return ExitStatus.OUTCOME_UNKNOWN
    finally:
        client.close()
