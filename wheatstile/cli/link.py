"""`wheatstile link`: the fault relay between the fleet's processes."""

from pathlib import Path

import click

from wheatstile.cli.common import refuse


@click.command("link")
@click.argument("routes", nargs=-1, required=True)
@click.option("--frames", is_flag=True, help="Streams are frames behind a 4-byte length: `lose`, `repeat`.")
@click.option("--control", type=click.IntRange(0, 65535), help="A port for commands (0: any).")
@click.option("--script", "file", type=click.Path(exists=True, dir_okay=False, path_type=Path),
              help="Commands behind `at SECONDS`, one a line.")
@click.option("--seed", type=int, default=0, help="Seeds what is lost, repeated and jittered.")
def command(routes: tuple[str, ...], frames: bool, control: int | None, file: Path | None, seed: int) -> int:
    """Relays each ROUTE (SRC:DST:LISTEN:TARGET, on 127.0.0.1) until standard input ends.

    Commands, one a line on standard input: cut A B, isolate A, delay A B SECONDS [JITTER], rate A B BYTES,
    lose A B SHARE, repeat A B SHARE, reset A B, heal [A B]; `*` is every name.
    """
    from wheatstile.link.relay import Relay, Route, main
    from wheatstile.link.rules import BadCommand, script

    try:
        parsed = [Route.parse(text) for text in routes]
        played = script(file.read_text()) if file else []
        if not frames and any(c.word in ("lose", "repeat") for _, c in played):
            raise BadCommand("lose and repeat need --frames")
    except BadCommand as error:
        return refuse([f"{file}: {line}" for line in str(error).splitlines()])
    except ValueError as error:
        return refuse([str(error)])
    return main(Relay(parsed, frames, seed, control, played))
