"""Click command groups: lazy import of commands, and reporting of rejected configurations."""

from collections.abc import Mapping
from importlib import import_module

import click

from wheatstile.cli.exit_status import reject


class LazyGroup(click.Group):
    """Imports a command's module when the command is called, so that `serve` does not import the others."""

    def __init__(
        self,
        name: str,
        *,
        modules: Mapping[str, str],
        aliases: Mapping[str, str] | None = None,
        **options: object,
    ) -> None:
        """Create the group.

        `modules` maps each command to `MODULE:ATTRIBUTE` of its click command. `aliases` maps further names,
        which are not listed, to commands.
        """
        super().__init__(name, **options)  # type: ignore[arg-type]
        self._modules = modules
        self._aliases = aliases or {}

    def list_commands(self, ctx: click.Context) -> list[str]:  # noqa: ARG002  signature required by click
        """Return the sorted names of the commands, without aliases."""
        return sorted(self._modules)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:  # noqa: ARG002
        """Return the command with this name or alias, or None if there is none."""
        name = self._aliases.get(cmd_name, cmd_name)
        if name not in self._modules:
            return None
        module, _, attribute = self._modules[name].partition(":")
        command: click.Command = getattr(import_module(module), attribute)
        return command


class ConfigurationGroup(click.Group):
    """Reports a rejected configuration for all its commands: reasons on standard error, exit status 1."""

    def invoke(self, ctx: click.Context) -> object:
        """Run the called command, and return its exit status."""
        from wheatstile.config.platform import ConfigError
        from wheatstile.config.violations import ConfigurationError

        try:
            return super().invoke(ctx)
        except ConfigurationError as error:
            return reject(error.lines())
        except ConfigError as error:
            return reject([str(error)])
