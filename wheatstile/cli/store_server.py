"""`wheatstile store serve`: runs one member of the store."""

from pathlib import Path

import click

from wheatstile.cli.exit_status import reject
from wheatstile.cli.store_client import parse_ports
from wheatstile.store.member_config import MemberConfig
from wheatstile.store.server import Ports, run_server


@click.command()
@click.option("--name", default="store", show_default=True, help="This member's name.")
@click.option(
    "--peer",
    "peers",
    multiple=True,
    metavar="NAME=PORT",
    callback=parse_ports,
    help="Another member and its port for peers; repeat for each member.",
)
@click.option(
    "--join", is_flag=True, help="Start without a vote; `store add` then adds this member to the cluster."
)
@click.option("--listen", "peer_port", type=int, default=0, help="Port for peers (0: any free port).")
@click.option("--client", "client_port", type=int, default=0, help="Port for clients (0: any free port).")
@click.option("--dir", "directory", type=click.Path(file_okay=False, path_type=Path), required=True)
@click.option(
    "--cluster",
    default="wheatstile",
    show_default=True,
    help="Name of the cluster; connections from members of other clusters are rejected.",
)
@click.option("--seed", type=int, default=0, help="Seed for the random election timeouts.")
@click.option(
    "--compact-every",
    type=click.IntRange(10),
    default=5000,
    show_default=True,
    help="Log entries between snapshots.",
)
@click.option("--trace", is_flag=True, help="Print each role change and each applied entry.")
def serve(
    name: str,
    peers: dict[str, int],
    join: bool,
    peer_port: int,
    client_port: int,
    directory: Path,
    cluster: str,
    seed: int,
    compact_every: int,
    trace: bool,
) -> int:
    """Run one member until SIGTERM. Prints `ready NAME PEER_PORT CLIENT_PORT` once it serves."""
    if name in peers:
        return reject([f"--peer {name} is the name of this member itself"])
    voters = frozenset() if join else frozenset({name, *peers})
    config = MemberConfig(name, voters, directory, cluster, seed, trace, compact_every)
    return run_server(config, Ports(peer_port, client_port, peers))
