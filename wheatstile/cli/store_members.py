"""`wheatstile store status`, `add`, `remove` and `transfer`: shows and changes the members of the store."""

from collections.abc import Callable

import click
import msgspec

from wheatstile.cli.exit_status import ExitStatus, reject
from wheatstile.cli.options import json_option
from wheatstile.cli.output import TableStyle, print_json, print_table
from wheatstile.cli.store_client import client_command
from wheatstile.store.client import StoreClient
from wheatstile.store.peer_transport import ADDRESS_KEY_PREFIX
from wheatstile.store.protocol import MemberStatus

STATUS_COLUMNS = (
    "name", "role", "leader", "term", "commit", "applied", "age_ms", "keys", "voters", "learners",
)  # fmt: skip
NO_LEADER = "no leader can be reached"


@click.command()
@json_option
@client_command
async def status(client: StoreClient, as_json: bool) -> ExitStatus:
    """Print the status that each member reports. Exit status 1 if a member cannot be reached."""
    statuses = await client.statuses()
    rows = [_status_row(name, reported) for name, reported in statuses.items()]
    if as_json:
        print_json(rows)
    else:
        table = [[row.get(column, "") for column in STATUS_COLUMNS] for row in rows]
        print_table(table, STATUS_COLUMNS, TableStyle.SIMPLE)
    all_reached = all(isinstance(reported, MemberStatus) for reported in statuses.values())
    return ExitStatus.OK if all_reached else ExitStatus.REJECTED


def _status_row(name: str, reported: MemberStatus | str) -> dict[str, object]:
    """Return a member's row by column. `reported` is its status, or the reason why it was not reached."""
    if isinstance(reported, str):
        return {"name": name, "role": f"not reached: {reported}"}
    return dict(msgspec.to_builtins(reported))


async def _change_members(client: StoreClient, change: Callable[[set[str], set[str]], None]) -> ExitStatus:
    """Apply `change` to the leader's current voters and learners, propose them, and print the result."""
    leader = await client.find_leader()
    if leader is None:
        return reject([NO_LEADER])
    voters = set(leader.voters)
    learners = set(leader.learners)
    change(voters, learners)
    changed = await client.change_members(voters, learners - voters)
    click.echo(f"voters {' '.join(changed.voters)}; learners {' '.join(changed.learners) or 'none'}")
    return ExitStatus.OK


@click.command()
@click.argument("name")
@click.option("--peer-port", type=int, required=True, help="Port of NAME for its peers.")
@click.option("--learner", is_flag=True, help="Add NAME as a learner only, without a vote.")
@client_command
async def add(client: StoreClient, name: str, peer_port: int, learner: bool) -> ExitStatus:
    """Add NAME, which was started with --join, as a learner, and then as a voter unless --learner is set."""

    def add_learner(_voters: set[str], learners: set[str]) -> None:
        learners.add(name)

    def add_voter(voters: set[str], _learners: set[str]) -> None:
        voters.add(name)

    await client.put(f"{ADDRESS_KEY_PREFIX}/{name}", str(peer_port).encode())
    # The member first receives the log as a learner: a voter without a log counts in the majority, but cannot
    # acknowledge new entries.
    exit_status = await _change_members(client, add_learner)
    if learner or exit_status is not ExitStatus.OK:
        return exit_status
    return await _change_members(client, add_voter)


@click.command()
@click.argument("name")
@client_command
async def remove(client: StoreClient, name: str) -> ExitStatus:
    """Remove the voter or learner NAME."""

    def remove_member(voters: set[str], learners: set[str]) -> None:
        voters.discard(name)
        learners.discard(name)

    return await _change_members(client, remove_member)


@click.command()
@click.argument("name")
@client_command
async def transfer(client: StoreClient, name: str) -> ExitStatus:
    """Transfer the leadership to NAME."""
    await client.transfer_leadership(name)
    return ExitStatus.OK
