"""`wheatstile link`: the fault relay between the fleet's processes, driven by lines on standard input."""

import click

from wheatstile.cli.common import refuse


@click.command("link")
@click.argument("routes", nargs=-1, required=True)
def command(routes: tuple[str, ...]) -> int:
    """Relays each ROUTE (SRC:DST:LISTEN:TARGET, on 127.0.0.1) until standard input ends.

    Commands, one a line: cut A B, isolate A, delay A B SECONDS, reset A B, heal; `*` is every name.
    """
    from wheatstile.link.relay import Route, main

    try:
        parsed = [Route.parse(text) for text in routes]
    except ValueError as error:
        return refuse([str(error)])
    return main(parsed)
