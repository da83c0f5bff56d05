"""Converts plain (unquoted) YAML scalars to values, as in the core schema of YAML 1.2. Performs no I/O."""

import re

BOOLEANS = {"true": True, "True": True, "TRUE": True, "false": False, "False": False, "FALSE": False}
NULLS = ("", "~", "null", "Null", "NULL")
INTEGER = re.compile(r"[-+]?[0-9]{1,300}")
OCTAL = re.compile(r"0o[0-7]{1,300}")
HEXADECIMAL = re.compile(r"0x[0-9a-fA-F]{1,300}")
FLOAT = re.compile(r"[-+]?(\.[0-9]+|[0-9]+(\.[0-9]*)?)([eE][-+]?[0-9]+)?")


def plain_scalar(text: str) -> bool | int | float | str | None:
    """Return the value of a plain scalar. Unlike in YAML 1.1, `yes` and `no` are strings."""
    if text in NULLS:
        return None
    if text in BOOLEANS:
        return BOOLEANS[text]
    if INTEGER.fullmatch(text):
        return int(text)
    if OCTAL.fullmatch(text) or HEXADECIMAL.fullmatch(text):
        return int(text, 0)
    if FLOAT.fullmatch(text):
        return float(text)
    return text
