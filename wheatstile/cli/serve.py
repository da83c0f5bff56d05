"""`serve`: the balancer, with the operator's file where one is named."""

import click

from wheatstile import node


@click.command("serve")
def command() -> int:
    """Serve until SIGTERM, from RELAY_*."""
    return node.main()
