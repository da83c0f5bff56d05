"""The command line. Each group of commands is a module of its own, imported only when it is called."""

import sys
from importlib import import_module

import click

from wheatstile import __version__

# Command -> its module here.
COMMANDS = {name: name for name in ("serve", "check", "schema", "servers", "descriptions", "link", "store")}


class LazyGroup(click.Group):
    """Imports a command's module when the command is named, so that `serve` pays for no other."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return None
        command: click.Command = import_module(f"wheatstile.cli.{COMMANDS[name]}").command
        return command


@click.group(cls=LazyGroup, invoke_without_command=True)
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
