"""`wheatstile store get`, `put`, `delete` and `watch`: reads, changes and watches keys."""

import sys
from collections.abc import Iterable

import click
import msgspec

from wheatstile.cli.exit_status import ExitStatus, reject
from wheatstile.cli.options import json_option
from wheatstile.cli.output import TableStyle, print_json, print_table
from wheatstile.cli.store_client import client_command
from wheatstile.store.client import StoreClient
from wheatstile.store.commands import ANY_REVISION, MAX_TTL_MS
from wheatstile.store.event_history import Event
from wheatstile.store.protocol import LINEARIZABLE, KeyVersion, Request, RequestKind

WILDCARDS = frozenset("*>")
STANDARD_INPUT = "-"
MAX_DURATION_S = MAX_TTL_MS // 1000


class VersionRow(msgspec.Struct):
    """One version of a key, as printed by `get`."""

    key: str
    revision: int
    change: str = msgspec.field(name="op")
    value: str


class EventRow(msgspec.Struct):
    """One change, as printed by `watch`."""

    revision: int
    change: str = msgspec.field(name="op")
    key: str
    value: str


def _decode(value: bytes) -> str:
    return value.decode("utf-8", "replace")


@click.command()
@click.argument("key")
@click.option(
    "--stale",
    "staleness_s",
    type=click.FloatRange(0, MAX_DURATION_S),
    help="Maximum staleness of the answer in seconds.",
)
@click.option("--history", is_flag=True, help="Print all versions that the store retains.")
@json_option
@client_command
async def get(
    client: StoreClient, key: str, staleness_s: float | None, history: bool, as_json: bool
) -> ExitStatus:
    """Print KEY, or all keys that match a pattern with `*` or `>`. Exit status 1 if no key is found."""
    staleness_ms = LINEARIZABLE if staleness_s is None else int(staleness_s * 1000)
    kind = _request_kind(key, history)
    reply = await client.request(Request(kind, key=key, max_staleness_ms=staleness_ms))
    _print_versions(reply.versions, as_json)
    return ExitStatus.OK if reply.versions else ExitStatus.REJECTED


def _request_kind(key: str, history: bool) -> RequestKind:
    if history:
        return RequestKind.HISTORY
    return RequestKind.LIST if WILDCARDS & set(key) else RequestKind.GET


def _print_versions(versions: Iterable[KeyVersion], as_json: bool) -> None:
    rows = [
        VersionRow(version.key, version.revision, version.change, _decode(version.value))
        for version in versions
    ]
    if as_json:
        print_json(msgspec.to_builtins(rows))
    elif rows:
        table = [msgspec.structs.astuple(row) for row in rows]
        print_table(table, VersionRow.__struct_encode_fields__, TableStyle.SIMPLE)


@click.command()
@click.argument("key")
@click.argument("value")
@click.option(
    "--revision",
    type=int,
    default=ANY_REVISION,
    help="Set KEY only if this is its current revision; 0 requires that KEY does not exist.",
)
@click.option(
    "--ttl",
    "ttl_s",
    type=click.FloatRange(0, MAX_DURATION_S),
    default=0.0,
    help="Time to live in seconds; 0 for no limit.",
)
@client_command
async def put(client: StoreClient, key: str, value: str, revision: int, ttl_s: float) -> ExitStatus:
    """Set KEY to VALUE (`-` for standard input), and print the new revision."""
    data = sys.stdin.buffer.read() if value == STANDARD_INPUT else value.encode()
    result = await client.put(key, data, revision, int(ttl_s * 1000))
    if not result.ok:
        return reject([f"rejected: {result.reason}"])
    click.echo(result.revision)
    return ExitStatus.OK


@click.command()
@click.argument("key")
@click.option(
    "--revision", type=int, default=ANY_REVISION, help="Delete KEY only if this is its current revision."
)
@client_command
async def delete(client: StoreClient, key: str, revision: int) -> ExitStatus:
    """Delete KEY."""
    result = await client.delete(key, revision)
    return ExitStatus.OK if result.ok else reject([result.reason])


@click.command()
@click.argument("pattern", default=">")
@click.option("--after", type=int, help="Print changes after this revision (default: the current revision).")
@json_option
@client_command
async def watch(client: StoreClient, pattern: str, after: int | None, as_json: bool) -> ExitStatus:
    """Print every change of the keys that match PATTERN, until interrupted."""
    if after is None:
        after = await client.current_revision()
    async for event in client.watch(pattern, after):
        _print_event(event, as_json)
    return ExitStatus.OK


def _print_event(event: Event, as_json: bool) -> None:
    row = EventRow(event.revision, event.change, event.key, _decode(event.value))
    if as_json:
        print_json(msgspec.to_builtins(row))
    else:
        click.echo(" ".join(map(str, msgspec.structs.astuple(row))))
