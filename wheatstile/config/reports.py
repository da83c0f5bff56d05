"""Parser of load reports, which have the form `NAME<separator>VALUE,...`."""

from collections.abc import Mapping
from math import isfinite

from wheatstile import interface as api


def parse_load_report(text: str, separator: str, metric_names: Mapping[str, str]) -> api.LoadReport:
    """Return the values of the report by `LoadMetric`. `metric_names` maps the names in the text to metrics.

    Unknown names are ignored. Values that are not finite numbers of 0 or more are ignored too.
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
