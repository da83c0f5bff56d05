"""`wheatstile store`: a member of the fleet's replicated store, and what people ask of it.

The modules `store_*` hold the commands by concern; the one that is called is imported alone.
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
    """The fleet's replicated store."""
