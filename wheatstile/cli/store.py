"""`wheatstile store`: runs a member of the replicated store, reads and changes keys, and manages members.

The modules `store_*` define the commands, and are imported only when one of their commands is called.
"""

import click

from wheatstile.cli.groups import LazyGroup

COMMAND_MODULES = {
    "serve": "wheatstile.cli.store_server:serve",
    "get": "wheatstile.cli.store_keys:get",
    "put": "wheatstile.cli.store_keys:put",
    "delete": "wheatstile.cli.store_keys:delete",
    "watch": "wheatstile.cli.store_keys:watch",
    "status": "wheatstile.cli.store_members:status",
    "add": "wheatstile.cli.store_members:add",
    "remove": "wheatstile.cli.store_members:remove",
    "transfer": "wheatstile.cli.store_members:transfer",
    "backup": "wheatstile.cli.store_archive:backup",
    "restore": "wheatstile.cli.store_archive:restore",
    "inspect": "wheatstile.cli.store_archive:inspect",
}


@click.group("store", cls=LazyGroup, modules=COMMAND_MODULES)
def command() -> None:
    """Run a member of the fleet's replicated store, or send requests to its members."""
