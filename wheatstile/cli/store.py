"""`wheatstile store`: one node of the fleet's replicated store, on loopback."""

from pathlib import Path

import click

from wheatstile.cli.common import refuse


@click.command("store")
@click.option("--name", required=True, help="This node's name among the voters.")
@click.option("--peer", "peers", multiple=True, metavar="NAME=PORT", help="Another voter, where to reach it.")
@click.option("--listen", type=int, default=0, help="Port for the peers' messages (0: any).")
@click.option("--client", type=int, default=0, help="Port for clients (0: any).")
@click.option("--dir", "directory", type=click.Path(file_okay=False, path_type=Path), required=True)
@click.option("--seed", type=int, default=0, help="Seeds the draw of election time-outs.")
def command(name: str, peers: tuple[str, ...], listen: int, client: int, directory: Path, seed: int) -> int:
    """Serves one node of the store until killed; prints `ready NAME PEER_PORT CLIENT_PORT` first."""
    from wheatstile.store.server import main

    parsed: dict[str, tuple[str, int]] = {}
    for text in peers:
        peer, _, port = text.partition("=")
        if not peer or not port.isdigit():
            return refuse([f"--peer {text!r}: NAME=PORT wanted"])
        parsed[peer] = ("127.0.0.1", int(port))
    return main(name, parsed, listen, client, directory, seed)
