"""`wheatstile fault-proxy`: injects network faults between the processes of a fleet."""

from pathlib import Path

import click

from wheatstile.cli.exit_status import reject


@click.command("fault-proxy")
@click.argument("routes", nargs=-1, required=True)
@click.option(
    "--frames",
    is_flag=True,
    help="Split streams into frames with a 4-byte length prefix; required by lose and repeat.",
)
@click.option(
    "--control", "control_port", type=click.IntRange(0, 65535), help="Port for commands (0: any free port)."
)
@click.option(
    "--script",
    "script_file",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Script file with one command per line, each after `at SECONDS`.",
)
@click.option("--seed", type=int, default=0, help="Seed for random loss, duplication and jitter.")
@click.pass_context
def command(
    context: click.Context,
    routes: tuple[str, ...],
    frames: bool,
    control_port: int | None,
    script_file: Path | None,
    seed: int,
) -> int:
    """Relay each ROUTE (SRC:DST:LISTEN:TARGET, on 127.0.0.1) until standard input ends.

    Commands, one per line of standard input: cut A B, isolate A, delay A B SECONDS [JITTER],
    rate A B BYTES, lose A B SHARE, repeat A B SHARE, reset A B, heal [A B]. `*` matches all names.
    """
    from wheatstile.fault_proxy.commands import FRAME_COMMANDS, parse_script
    from wheatstile.fault_proxy.errors import CommandError
    from wheatstile.fault_proxy.proxy import FaultProxyOptions, main
    from wheatstile.fault_proxy.routes import Route

    try:
        parsed_routes = [Route.parse(text) for text in routes]
        script = parse_script(script_file.read_text()) if script_file else []
        if not frames and any(scheduled.command.name in FRAME_COMMANDS for scheduled in script):
            raise CommandError("lose and repeat need --frames")
    except CommandError as error:
        return reject([f"{script_file}: {line}" for line in str(error).splitlines()])
    except ValueError as error:
        return reject([str(error)])
    options = FaultProxyOptions(parsed_routes, frames, seed, control_port, script)
    return main(options, command_name=context.info_name or "fault-proxy")
