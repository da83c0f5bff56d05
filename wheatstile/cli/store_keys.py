"""`wheatstile store get`, `put`, `delete`, `watch`: keys of the store."""

import sys
from collections.abc import Iterable

import click
import msgspec

from wheatstile.cli.exit_status import ExitStatus, reject
from wheatstile.cli.options import json_option
from wheatstile.cli.output import TableStyle, print_json, print_table
from wheatstile.cli.store_client import client_command
from wheatstile.store.client import StoreClient
from wheatstile.store.commands import ANY_REVISION
from wheatstile.store.event_history import Event
from wheatstile.store.protocol import LINEARIZABLE, KeyVersion, Request, RequestKind

WILDCARDS = frozenset("*>")
STANDARD_INPUT = "-"


class VersionRow(msgspec.Struct):
    """One version of a key, as `get` prints it."""

    key: str
    revision: int
    change: str = msgspec.field(name="op")
    value: str


class EventRow(msgspec.Struct):
    """One change, as `watch` prints it."""

    revision: int
    change: str = msgspec.field(name="op")
    key: str
    value: str


def _text(value: bytes) -> str:
    return value.decode("utf-8", "replace")


@click.command()
@click.argument("key")
@click.option(
    "--stale", "staleness_s", type=click.FloatRange(0), help="Seconds by which the answer may be behind."
)
@click.option("--history", is_flag=True, help="All versions that are kept.")
@json_option
@client_command
async def get(
    client: StoreClient, key: str, staleness_s: float | None, history: bool, as_json: bool
) -> ExitStatus:
    """Reads KEY, or with `*` and `>` all keys that match; exit status 1 if there is none."""
    staleness_ms = LINEARIZABLE if staleness_s is None else int(staleness_s * 1000)
    kind = _read_kind(key, history)
    reply = await client.request(Request(kind, key=key, max_staleness_ms=staleness_ms))
    _print_versions(reply.versions, as_json)
    return ExitStatus.OK if reply.versions else ExitStatus.REJECTED


def _read_kind(key: str, history: bool) -> RequestKind:
    if history:
        return RequestKind.HISTORY
    return RequestKind.LIST if WILDCARDS & set(key) else RequestKind.GET


def _print_versions(versions: Iterable[KeyVersion], as_json: bool) -> None:
    rows = [VersionRow(found.key, found.revision, found.change, _text(found.value)) for found in versions]
    if as_json:
        print_json(msgspec.to_builtins(rows))
    elif rows:
        table = [msgspec.structs.astuple(row) for row in rows]
        print_table(table, VersionRow.__struct_encode_fields__, TableStyle.SIMPLE)


@click.command()
@click.argument("key")
@click.argument("value")
@click.option("--revision", type=int, default=ANY_REVISION, help="The one KEY must be at; 0: none yet.")
@click.option("--ttl", "ttl_s", type=click.FloatRange(0), default=0.0, help="Seconds to live; 0: for ever.")
@client_command
async def put(client: StoreClient, key: str, value: str, revision: int, ttl_s: float) -> ExitStatus:
    """Writes VALUE (`-`: standard input) and prints the revision."""
    data = sys.stdin.buffer.read() if value == STANDARD_INPUT else value.encode()
    result = await client.put(key, data, revision, int(ttl_s * 1000))
    if not result.ok:
        return reject([f"refused: {result.reason}"])
    click.echo(result.revision)
    return ExitStatus.OK


@click.command()
@click.argument("key")
@click.option("--revision", type=int, default=ANY_REVISION, help="The one KEY must be at.")
@client_command
async def delete(client: StoreClient, key: str, revision: int) -> ExitStatus:
    """Deletes KEY."""
    result = await client.delete(key, revision)
    return ExitStatus.OK if result.ok else reject([result.reason])


@click.command()
@click.argument("pattern", default=">")
@click.option("--after", type=int, help="Events after this revision; without it, after what stands now.")
@json_option
@client_command
async def watch(client: StoreClient, pattern: str, after: int | None, as_json: bool) -> ExitStatus:
    """Prints changes of matching keys, none left out, until it is ended."""
    if after is None:
        after = (await client.list_matching(pattern)).revision
    async for event in client.watch(pattern, after):
        _print_event(event, as_json)
    return ExitStatus.OK


def _print_event(event: Event, as_json: bool) -> None:
    row = EventRow(event.revision, event.change, event.key, _text(event.value))
    if as_json:
        print_json(msgspec.to_builtins(row))
    else:
        click.echo(" ".join(map(str, msgspec.structs.astuple(row))))
