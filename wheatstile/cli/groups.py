"""Groups of commands: imported when they are named, and with one way to report what is rejected."""

from collections.abc import Mapping
from importlib import import_module

import click

from wheatstile.cli.exit_status import reject


class LazyGroup(click.Group):
    """Imports a command's module when the command is named, so that `serve` pays for no other."""

    def __init__(self, name: str, *, modules: Mapping[str, str], **options: object) -> None:
        """`modules`: by command, `MODULE:ATTRIBUTE` of the click command."""
        super().__init__(name, **options)  # type: ignore[arg-type]
        self._modules = modules

    def list_commands(self, ctx: click.Context) -> list[str]:  # noqa: ARG002  the signature of click
        """Return the commands' names, sorted."""
        return sorted(self._modules)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:  # noqa: ARG002
        """Return the command of this name; None where there is none."""
        if cmd_name not in self._modules:
            return None
        module, _, attribute = self._modules[cmd_name].partition(":")
        command: click.Command = getattr(import_module(module), attribute)
        return command


class ConfigurationGroup(click.Group):
    """Reports a rejected configuration, whichever command has read it: exit status 1, reasons on stderr."""

    def invoke(self, ctx: click.Context) -> object:
        """Run the command that was named; its exit status."""
        from wheatstile.config.platform import ConfigError
        from wheatstile.config.violations import ConfigurationError

        try:
            return super().invoke(ctx)
        except ConfigurationError as error:
            return reject(error.lines())
        except ConfigError as error:
            return reject([str(error)])
