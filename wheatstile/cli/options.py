"""Options that several commands share."""

import click

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")

platform_config_option = click.option(
    "--config", metavar="FILE", help="The platform's configuration (default: RELAY_CONFIG)."
)
