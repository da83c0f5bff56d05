"""The command line. Each group of commands is a module of its own, imported only when it is called."""

import sys

import click

from wheatstile import __version__
from wheatstile.cli.groups import LazyGroup

COMMAND_MODULES = {
    "check": "wheatstile.cli.check:command",
    "descriptions": "wheatstile.cli.descriptions:command",
    "link": "wheatstile.cli.link:command",
    "schema": "wheatstile.cli.schema:command",
    "serve": "wheatstile.cli.serve:command",
    "servers": "wheatstile.cli.servers:command",
    "store": "wheatstile.cli.store:command",
}


@click.group(cls=LazyGroup, modules=COMMAND_MODULES, invoke_without_command=True)
@click.version_option(__version__, prog_name="wheatstile")
@click.pass_context
def group(context: click.Context) -> None:
    """A balancer for long-lived connections. Without a command it serves, from RELAY_* alone."""
    if context.invoked_subcommand is None:
        from wheatstile.process.main import main as serve

        context.exit(serve())


def main() -> int:
    """Exit status 0: done, or holds; 1: refused, with the reasons on standard error; 2: wrong usage."""
    try:
        status = group.main(prog_name="wheatstile", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        return 1
    return status if isinstance(status, int) else 0


if __name__ == "__main__":
    sys.exit(main())
