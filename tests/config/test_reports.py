"""Parser of load reports."""

import pytest

from wheatstile.config.reports import parse_load_report

NAMES = {"x0": "load", "util": "busy"}


@pytest.mark.parametrize(
    ("text", "report"),
    [
        ("x0=0.5,util=1", {"load": 0.5, "busy": 1.0}),
        ("util=0", {"busy": 0.0}),
        ("unheard_of=3,x0=2e1", {"load": 20.0}),
        ("x0=-1,util=nan", {}),
        ("x0=inf,util=many", {}),
        ("x0:0.5", {}),
        ("", {}),
    ],
)
def test_unknown_names_and_invalid_values_are_ignored(text: str, report: dict[str, float]) -> None:
    assert parse_load_report(text, "=", NAMES) == report
