"""Load reports: named values as a line of text carries them."""

from math import isfinite

from wheatstile import interface as api


def report_in(text: str, mark: str, names: dict[str, str]) -> api.LoadReport:
    """The named values of a load report; those that are no finite number of 0 or more count as absent."""
    values = {}
    for pair in text.split(","):
        name, _, value = pair.partition(mark)
        try:
            figure = float(value)
        except ValueError:
            continue
        if name in names and isfinite(figure) and figure >= 0:
            values[names[name]] = figure
    return values
