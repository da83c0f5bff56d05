"""The command line. Each command has its own module, which is imported only when the command is called."""

import sys

import click

from wheatstile import __version__
from wheatstile.cli.exit_status import ExitStatus
from wheatstile.cli.groups import LazyGroup

COMMAND_MODULES = {
    "check": "wheatstile.cli.check:command",
    "descriptions": "wheatstile.cli.descriptions:command",
    "fault-proxy": "wheatstile.cli.fault_proxy:command",
    "schema": "wheatstile.cli.schema:command",
    "serve": "wheatstile.cli.serve:command",
    "servers": "wheatstile.cli.servers:command",
    "store": "wheatstile.cli.store:command",
}
COMMAND_ALIASES = {"link": "fault-proxy"}
"""Former names of commands, which still work but are not listed in the help."""


@click.group(cls=LazyGroup, modules=COMMAND_MODULES, aliases=COMMAND_ALIASES, invoke_without_command=True)
@click.version_option(__version__, prog_name="wheatstile")
@click.pass_context
def group(context: click.Context) -> None:
    """Balance long-lived connections. Without a command, serve as configured by the RELAY_* variables."""
    if context.invoked_subcommand is None:
        from wheatstile.process.main import main as serve

        context.exit(serve())


def main() -> int:
    """Run the command line, and return the exit status: an `ExitStatus`, or 2 for a usage error."""
    try:
        status = group.main(prog_name="wheatstile", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        return ExitStatus.REJECTED
    return status if isinstance(status, int) else ExitStatus.OK


if __name__ == "__main__":
    sys.exit(main())
