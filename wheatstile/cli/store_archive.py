"""`wheatstile store backup`, `restore` and `inspect`: saves, restores and prints the store's state."""

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
    """Write a backup of the store's complete current state to FILE."""
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
@click.option("--cluster", required=True, help="Name of the new cluster; must differ from the old one.")
@click.option("--name", default="store", show_default=True, help="Name of the new cluster's first member.")
def restore(file: Path, directory: Path, cluster: str, name: str) -> ExitStatus:
    """Create the directory of the first member of a new cluster from the backup in FILE."""
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
    """Print the content of a member's directory without changing it. The member need not be running."""
    try:
        content = msgspec.to_builtins(inspect_directory(directory))
    except (CorruptStorageError, OSError) as error:
        return reject([str(error)])
    if as_json:
        print_json(content)
    else:
        print_table(content.items())
    return ExitStatus.OK
