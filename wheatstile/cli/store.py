"""`wheatstile store`: a member of the fleet's replicated store, and what people ask of it."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import click

from wheatstile.cli.common import REFUSED, refuse

UNDECIDED = 4  # exit status: it may or may not have been done


def ports(context: click.Context, option: click.Parameter, texts: tuple[str, ...]) -> dict[str, int]:
    """NAME=PORT, each name once."""
    parsed: dict[str, int] = {}
    for text in texts:
        name, _, port = text.partition("=")
        if not name or not port.isdigit() or not 0 < int(port) < 65536:
            raise click.BadParameter(f"{text!r}: NAME=PORT wanted", context, option)
        if name in parsed:
            raise click.BadParameter(f"{name} stands twice", context, option)
        parsed[name] = int(port)
    return parsed


members = click.option("--member", "members", multiple=True, required=True, metavar="NAME=PORT",
                       callback=ports, help="Each member and its port for clients.")
as_json = click.option("--json", "as_json", is_flag=True, help="For programs.")
within = click.option("--within", type=click.FloatRange(0.01, 60), default=5.0, show_default=True,
                      help="Seconds to try for.")


@click.group("store")
def command() -> None:
    """The fleet's replicated store."""


@command.command()
@click.option("--name", default="store", show_default=True, help="This member's name.")
@click.option("--peer", "peers", multiple=True, metavar="NAME=PORT", callback=ports,
              help="Another member and its port for peers.")
@click.option("--join", is_flag=True, help="Begin as nobody's voter, to be added by `store add`.")
@click.option("--listen", type=int, default=0, help="Port for peers (0: any).")
@click.option("--client", type=int, default=0, help="Port for clients (0: any).")
@click.option("--dir", "directory", type=click.Path(file_okay=False, path_type=Path), required=True)
@click.option("--cluster", default="wheatstile", show_default=True, help="Members of another are refused.")
@click.option("--seed", type=int, default=0, help="Seeds the draw of election time-outs.")
@click.option("--compact-every", type=click.IntRange(10), default=5000, show_default=True,
              help="Entries after which the log becomes a snapshot.")
@click.option("--trace", is_flag=True, help="Print each role and each applied entry.")
def serve(name: str, peers: dict[str, int], join: bool, listen: int, client: int, directory: Path,
          cluster: str, seed: int, compact_every: int, trace: bool) -> int:
    """Serves one member until SIGTERM; prints `ready NAME PEER_PORT CLIENT_PORT` first."""
    from wheatstile.store.member_config import MemberConfig
    from wheatstile.store.server import Ports, run_server

    if name in peers:
        return refuse([f"--peer {name}: that is this member's own name"])
    voters = frozenset() if join else frozenset({name, *peers})
    config = MemberConfig(name, voters, directory, cluster, seed, trace, compact_every)
    return run_server(config, Ports(listen, client, peers))


def asked(members: dict[str, int], within: float, work: Callable[[Any], Awaitable[int]]) -> int:
    """Runs `work` with a client; the exit status."""
    from wheatstile.store.client import StoreClient
    from wheatstile.store.errors import OutcomeUnknownError, RequestRejectedError, WatchCompactedError

    async def run() -> int:
        client = StoreClient(members, within)
        try:
            return await work(client)
        except (RequestRejectedError, WatchCompactedError) as error:
            return refuse([str(error)])
        except OutcomeUnknownError as error:
            print(f"undecided: {error}", file=sys.stderr)
            return UNDECIDED
        finally:
            client.close()

    try:
        return asyncio.run(run())
    except KeyboardInterrupt:
        return 0


def told(found: list[Any], as_json: bool) -> None:
    from tabulate import tabulate

    rows = [{"key": f.key, "revision": f.revision, "op": f.change,
             "value": f.value.decode("utf-8", "replace")} for f in found]
    if as_json:
        print(json.dumps(rows))
    elif rows:
        print(tabulate(rows, headers="keys", disable_numparse=True))


@command.command()
@click.argument("key")
@click.option("--stale", type=click.FloatRange(0), help="Seconds by which the answer may be behind.")
@click.option("--history", is_flag=True, help="All versions that are kept.")
@members
@as_json
@within
def get(key: str, stale: float | None, history: bool, members: dict[str, int], as_json: bool,
        within: float) -> int:
    """Reads KEY, or with `*` and `>` all keys that match; exit status 1 if there is none."""
    import msgspec

    from wheatstile.store.protocol import LINEARIZABLE, Request, RequestKind

    async def work(client: Any) -> int:
        request = Request(RequestKind.LIST if "*" in key or ">" in key else RequestKind.GET, key=key,
                          max_staleness_ms=LINEARIZABLE if stale is None else int(stale * 1000))
        if history:
            request = msgspec.structs.replace(request, kind=RequestKind.HISTORY)
        reply = await client.request(request)
        told(reply.versions, as_json)
        return 0 if reply.versions else REFUSED

    return asked(members, within, work)


@command.command()
@click.argument("key")
@click.argument("value")
@click.option("--revision", type=int, default=-1, help="The one KEY must be at; 0: none yet.")
@click.option("--ttl", type=click.FloatRange(0), default=0.0, help="Seconds to live; 0: for ever.")
@members
@within
def put(key: str, value: str, revision: int, ttl: float, members: dict[str, int], within: float) -> int:
    """Writes VALUE (`-`: standard input) and prints the revision."""
    data = sys.stdin.buffer.read() if value == "-" else value.encode()

    async def work(client: Any) -> int:
        result = await client.put(key, data, revision, int(ttl * 1000))
        print(result.revision if result.ok else f"refused: {result.reason}",
              file=sys.stdout if result.ok else sys.stderr)
        return 0 if result.ok else REFUSED

    return asked(members, within, work)


@command.command()
@click.argument("key")
@click.option("--revision", type=int, default=-1, help="The one KEY must be at.")
@members
@within
def delete(key: str, revision: int, members: dict[str, int], within: float) -> int:
    """Deletes KEY."""

    async def work(client: Any) -> int:
        result = await client.delete(key, revision)
        return 0 if result.ok else refuse([result.reason])

    return asked(members, within, work)


@command.command()
@click.argument("pattern", default=">")
@click.option("--after", type=int, help="Events after this revision; without it, after what stands now.")
@members
@as_json
@within
def watch(pattern: str, after: int | None, members: dict[str, int], as_json: bool, within: float) -> int:
    """Prints changes of matching keys, none left out, until it is ended."""

    async def work(client: Any) -> int:
        start = (await client.list_matching(pattern)).revision if after is None else after
        async for event in client.watch(pattern, start):
            value = event.value.decode("utf-8", "replace")
            row = {"revision": event.revision, "op": event.change, "key": event.key, "value": value}
            print(json.dumps(row) if as_json else " ".join(map(str, row.values())), flush=True)
        return 0

    return asked(members, within, work)


@command.command()
@members
@as_json
@within
def status(members: dict[str, int], as_json: bool, within: float) -> int:
    """What each member says of itself; exit status 1 if one cannot be reached."""
    import msgspec
    from tabulate import tabulate

    async def work(client: Any) -> int:
        said = await client.statuses()
        rows = [{"name": name, "role": f"not reached: {status}"} if isinstance(status, str)
                else msgspec.to_builtins(status) for name, status in said.items()]
        columns = ("name", "role", "leader", "term", "commit", "applied", "age_ms", "keys", "voters",
                   "learners")
        print(json.dumps(rows) if as_json else tabulate([[row.get(c, "") for c in columns] for row in rows],
                                                        columns, disable_numparse=True))
        return REFUSED if any(isinstance(status, str) for status in said.values()) else 0

    return asked(members, within, work)


async def changed(client: Any, change: Callable[[set[str], set[str]], None]) -> int:
    """Changes the members from what they are; the client asks the leader, whoever that is."""
    leader = await client.find_leader()
    if leader is None:
        return refuse(["no leader is reached"])
    voters, learners = set(leader.voters), set(leader.learners)
    change(voters, learners)
    status = await client.change_members(voters, learners - voters)
    print(f"voters {' '.join(status.voters)}; learners {' '.join(status.learners) or 'none'}")
    return 0


@command.command()
@click.argument("name")
@click.option("--peer-port", type=int, required=True, help="Where the others reach it.")
@click.option("--learner", is_flag=True, help="Is sent the log, and has no vote.")
@members
@within
def add(name: str, peer_port: int, learner: bool, members: dict[str, int], within: float) -> int:
    """Adds NAME (started with --join) as a learner, and as a voter unless --learner."""
    from wheatstile.store.peer_transport import ADDRESS_KEY_PREFIX

    async def work(client: Any) -> int:
        await client.put(f"{ADDRESS_KEY_PREFIX}/{name}", str(peer_port).encode())
        # As a learner first: a voter without a log would count against a majority until it has one.
        status = await changed(client, lambda voters, learners: learners.add(name))
        if status or learner:
            return status
        return await changed(client, lambda voters, learners: voters.add(name))

    return asked(members, within, work)


@command.command()
@click.argument("name")
@members
@within
def remove(name: str, members: dict[str, int], within: float) -> int:
    """Removes NAME, voter or learner."""

    async def work(client: Any) -> int:
        def change(voters: set[str], learners: set[str]) -> None:
            voters.discard(name)
            learners.discard(name)

        return await changed(client, change)

    return asked(members, within, work)


@command.command()
@click.argument("name")
@members
@within
def transfer(name: str, members: dict[str, int], within: float) -> int:
    """Hands leadership to NAME."""

    async def work(client: Any) -> int:
        await client.transfer_leadership(name)
        return 0

    return asked(members, within, work)


@command.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@members
@within
def backup(file: Path, members: dict[str, int], within: float) -> int:
    """Writes the whole store, as it stands now, to FILE."""
    from wheatstile.store.backup import write_backup

    async def work(client: Any) -> int:
        leader = await client.find_leader()
        if leader is None:
            return refuse(["no leader is reached"])
        state = await client.download_state()
        write_backup(file, leader.cluster, state.revision, state.data)
        print(f"revision {state.revision}, {len(state.data)} bytes")
        return 0

    return asked(members, within, work)


@command.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--dir", "directory", type=click.Path(file_okay=False, path_type=Path), required=True)
@click.option("--cluster", required=True, help="The new cluster's name, not the old one's.")
@click.option("--name", default="store", show_default=True, help="Its one member, to which others are added.")
def restore(file: Path, directory: Path, cluster: str, name: str) -> int:
    """Makes an empty directory that of the first member of a new cluster with what FILE holds."""
    from wheatstile.store.backup import restore_backup
    from wheatstile.store.errors import CorruptStorageError, RestoreRejectedError

    try:
        header = restore_backup(file, directory, cluster, name)
    except (CorruptStorageError, RestoreRejectedError, ValueError, OSError) as error:
        return refuse([str(error)])
    print(f"revision {header.revision} of {header.cluster}")
    return 0


@command.command()
@click.argument("directory", type=click.Path(exists=True, file_okay=False, path_type=Path))
@as_json
def inspect(directory: Path, as_json: bool) -> int:
    """What a member's directory holds; it is not changed, and no member needs to run."""
    import msgspec
    from tabulate import tabulate

    from wheatstile.store.errors import CorruptStorageError
    from wheatstile.store.inspection import inspect_directory

    try:
        found = msgspec.to_builtins(inspect_directory(directory))
    except (CorruptStorageError, OSError) as error:
        return refuse([str(error)])
    print(json.dumps(found) if as_json else tabulate(found.items(), tablefmt="plain", disable_numparse=True))
    return 0
