"""Tests of the parser for lines of servers."""

import pytest

from wheatstile import interface as api
from wheatstile.net.upstream_reply import Reply, parse_final_reply, parse_health_check_reply


@pytest.mark.parametrize(
    ("line", "reply"),
    [
        (b"BYE\r\n", Reply(api.AttemptOutcome.OK)),
        (b"MOVE x0=0.5\r\n", Reply(api.AttemptOutcome.CANCELLED, {"load": 0.5})),
        (b"ERR\r\n", Reply(api.AttemptOutcome.ERROR)),
        (b"BUSY util=0.9,queue=3\r\n", Reply(api.AttemptOutcome.OVERLOADED, {"busy": 0.9, "queue": 3.0})),
        (b"odd\r\n", Reply(api.AttemptOutcome.ERROR)),
        (b"BYE x0=nan,x0=-1,other=1\r\n", Reply(api.AttemptOutcome.OK)),
    ],
)
def test_final_reply_has_an_outcome_and_a_load_report(line: bytes, reply: Reply) -> None:
    assert parse_final_reply(line) == reply


@pytest.mark.parametrize(
    ("line", "reply"),
    [
        (b"PONG x0=0.25\r\n", Reply(api.AttemptOutcome.OK, {"load": 0.25})),
        (b"PONG\r\n", Reply(api.AttemptOutcome.OK)),
        (b"BUSY\r\n", Reply(api.AttemptOutcome.OVERLOADED)),
        (b"", Reply(api.AttemptOutcome.RESET)),
    ],
)
def test_health_check_reply_has_an_outcome_and_a_load_report(line: bytes, reply: Reply) -> None:
    assert parse_health_check_reply(line) == reply
