"""`wheatstile store backup`, `restore`, `inspect`: the store's state in files."""

from pathlib import Path

import click
import msgspec

from wheatstile.cli.exit_status import ExitStatus, reject
from wheatstile.cli.options import json_option
from wheatstile.cli.output import print_json, print_table
from wheatstile.cli.store_client import client_command
from wheatstile.cli.store_members import NO_LEADER
from wheatstile.store.backup import restore_backup, write_backup
from wheatstile.store.client import StoreClient
from wheatstile.store.errors import CorruptStorageError, RestoreRejectedError
from wheatstile.store.inspection import inspect_directory


@click.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@client_command
async def backup(client: StoreClient, file: Path) -> ExitStatus:
    """Writes the whole store, as it stands now, to FILE."""
    leader = await client.find_leader()
    if leader is None:
        return reject([NO_LEADER])
    state = await client.download_state()
    write_backup(file, leader.cluster, state.revision, state.data)
    click.echo(f"revision {state.revision}, {len(state.data)} bytes")
    return ExitStatus.OK


@click.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--dir", "directory", type=click.Path(file_okay=False, path_type=Path), required=True)
@click.option("--cluster", required=True, help="The new cluster's name, not the old one's.")
@click.option("--name", default="store", show_default=True, help="Its one member, to which others are added.")
def restore(file: Path, directory: Path, cluster: str, name: str) -> ExitStatus:
    """Makes an empty directory that of the first member of a new cluster with what FILE holds."""
    try:
        header = restore_backup(file, directory, cluster, name)
    except (CorruptStorageError, RestoreRejectedError, ValueError, OSError) as error:
        return reject([str(error)])
    click.echo(f"revision {header.revision} of {header.cluster}")
    return ExitStatus.OK


@click.command()
@click.argument("directory", type=click.Path(exists=True, file_okay=False, path_type=Path))
@json_option
def inspect(directory: Path, as_json: bool) -> ExitStatus:
    """What a member's directory holds; it is not changed, and no member needs to run."""
    try:
        found = msgspec.to_builtins(inspect_directory(directory))
    except (CorruptStorageError, OSError) as error:
        return reject([str(error)])
    if as_json:
        print_json(found)
    else:
        print_table(found.items())
    return ExitStatus.OK
