"""Load reports: named values as a line of text carries them."""

from collections.abc import Mapping
from math import isfinite

from wheatstile import interface as api


def parse_load_report(text: str, separator: str, metric_names: Mapping[str, str]) -> api.LoadReport:
    """Read the values of `NAME<separator>VALUE,...`, by the interface's names.

    Unknown names, and values that are no finite number of 0 or more, count as absent.
    """
    report = {}
    for pair in text.split(","):
        name, _, value_text = pair.partition(separator)
        try:
            value = float(value_text)
        except ValueError:
            continue
        if name in metric_names and isfinite(value) and value >= 0:
            report[metric_names[name]] = value
    return report
