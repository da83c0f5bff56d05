"""The wire: every message both ways, and a plain word for what is malformed."""

import io
import json
from typing import Any

import pytest

from wheatstile import interface as api
from wheatstile.config.errors import SettingsError
from wheatstile.config.settings import parse_settings
from wheatstile.simulator import host, wire
from wheatstile.simulator.line import Fields, parse_line

NOTE = "STATUS_NOTE\tbalancer=3\trequestId=d8\tx=12.5\tserver=s1"
PROFILE: dict[str, Any] = {
    "classes": [{"name": "web", "aimUs": 500000, "deadlineUs": 2000000, "repeat": "retryable", "new": 1}],
    "fleetSize": 4,
    "discovery": "on_request",
    "limits": {"maxAttempts": 3, "mayProbe": True, "retryAfter": True, "maxRetryAfterUs": 1500000},
    "rules": {
        "drainGraceUs": 500000,
        "coldFrom": 0.3,
        "warmAfterUs": 8000000,
        "tipMultiple": 4.0,
        "fallUs": 1000000,
    },
    "familyInfo": {"mode": "pass", "messageAimUs": [50000.0]},
    "deductions": {"crossZone": 0.05, "moves": 0.01},
    "telemetry": {"names": ["x0", "unheard_of"], "via": "pull"},
    "zone": "here",
}


def batch(*lines: str, turn: int = 1, clock: int = 5_000_000) -> str:
    return "\n".join([f"ROUND\tclockUs={clock}\tturn={turn}", *lines, "FLUSH", ""])


def configure(instance: int, profile: dict[str, Any] | None = None, seed: int = 7) -> list[str]:
    return [
        f"CONFIGURE\tbalancer={instance}\tprng={seed}\tprofileData={json.dumps(profile or PROFILE)}",
        "ROSTER\tbuffer=0\trowsIn=2",
        "ROW\tshare=1\taz=here\tstatus=Running\tserver=s1",
        "ROW\tshare=1\taz=there\tstatus=Running\tserver=s2\tnovelty=1",
        f"FLEET\tbalancer={instance}\tgeneration=1\tkind=restored\tbuffer=0",
    ]


def serve(text: str) -> tuple[int, list[str], str]:
    out, errors = io.StringIO(), io.StringIO()
    status = host.serve(io.StringIO(text), out, errors)
    return status, out.getvalue().splitlines(), errors.getvalue()


@pytest.mark.parametrize(
    ("line", "event"),
    [
        (
            "ARRIVAL\tbalancer=3\trequestId=d8\texpiresInUs=240000\tresource=k\tservice=web\ttenant=t"
            "\tmidflow=1\treconnect=1\tretry=1\tworkHintUs=12000\tteamId=g",
            api.Request("d8", "web", 240000, "k", "t", True, True, True, 12000.0, "g"),
        ),
        (
            "EXISTING\tbalancer=3\trequestId=d8\tservice=web\tserver=s1\tresource=k",
            api.ExistingConnection("d8", "web", "s1", "k"),
        ),
        ("ACCEPTED\tbalancer=3\trequestId=d8\ttry=1\tserver=s1\trttUs=9", api.Established("d8", 1, "s1", 9)),
        (
            "RESOLVED\tbalancer=3\trequestId=d8\ttry=0\tserver=s1\tverdict=cut\trttUs=9\tlast=1\tstats=x0:0.5",
            api.AttemptEnded("d8", 0, "s1", api.AttemptOutcome.RESET, 9, True, {"load": 0.5}),
        ),
        (
            "RESOLVED\tbalancer=3\trequestId=d8\ttry=0\tserver=s1\tverdict=eaten",
            api.AttemptEnded("d8", 0, "s1", api.AttemptOutcome.ERROR),
        ),
        ("ABORTED\tbalancer=3\trequestId=d8", api.ClientDisconnected("d8")),
        (
            "CHECKED\tbalancer=3\tserver=s1\tverdict=pass\trttUs=5\tstats=x0:0.5,odd:3",
            api.HealthCheckResult("s1", api.AttemptOutcome.OK, 5, {"load": 0.5}),
        ),
        (f"{NOTE}\ttopic=1", api.ConnectionLoadChanged("d8", "s1", 12.5)),
        (f"{NOTE}\ttopic=2", api.MessageLatencyChanged("d8", "s1", 12.5)),
        (f"{NOTE}\ttopic=9", None),
        ("BELL\tbalancer=3\ttag=slot", api.TimerFired(api.TimerToken(api.TimerKind.EXPLORATION_SLOT))),
    ],
)
def test_events_are_read(line: str, event: api.Event | None) -> None:
    name, fields = parse_line(line)
    assert wire.EVENTS[name](fields) == event


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (api.StartAttempt("d8", "s1", 80), "TRANSMIT\tbalancer=3\trequestId=d8\tserver=s1\tlimitUs=80"),
        (api.Reject("d8", 5), "SAY_NO\tbalancer=3\trequestId=d8\tcoolDownUs=5"),
        (api.Fail("d8"), "ABORT\tbalancer=3\trequestId=d8"),
        (api.Migrate("d8"), "MIGRATE\tbalancer=3\trequestId=d8"),
        (api.CheckHealth("s1"), "PROBE\tbalancer=3\tserver=s1"),
        (
            api.SetTimer(7, api.TimerToken(api.TimerKind.EXPLORATION_SLOT)),
            "ARM\tbalancer=3\twaitUs=7\ttag=slot",
        ),
        (api.WatchEndpoints(), "STREAM_CHANGES\tbalancer=3\ton=1"),
    ],
)
def test_actions_are_rendered(action: api.Action, line: str) -> None:
    assert wire.action_line(3, action) == line


@pytest.mark.parametrize(
    ("token", "text"),
    [
        (api.TimerToken(api.TimerKind.EXPLORATION_SLOT), "slot"),
        (api.TimerToken(api.TimerKind.WATCH_ENDPOINTS), "list"),
        (api.TimerToken(api.TimerKind.LOAD_CHECK), "look"),
        (api.TimerToken(api.TimerKind.REPEATED_LOAD_CHECK, "d8"), "look::d8"),
        (api.TimerToken(api.TimerKind.REBALANCE, "d:8"), "relief::d:8"),
        (api.TimerToken(api.TimerKind.CANDIDATE_TIMEOUT, "d:8", 42), "hold:42:d:8"),
    ],
)
def test_timer_tokens_are_written_and_read(token: api.TimerToken, text: str) -> None:
    assert wire.timer_text(token) == text
    assert wire.timer_token(text) == token


@pytest.mark.parametrize("text", ["unheard-of", "hold", "hold:x", "hold:x:d8", "slot::d8", "other:1:d8", ""])
def test_unknown_timers_are_ignored(text: str) -> None:
    assert wire.EVENTS["BELL"](Fields({"tag": text})) is None


def test_every_action_of_the_interface_has_a_name_on_the_wire() -> None:
    assert set(wire.ACTIONS) == set(api.Action.__args__)


@pytest.mark.parametrize("value", ["nan", "inf", "-1", "many", ""])
def test_nonsense_in_a_report_counts_as_absent(value: str) -> None:
    assert Fields({"stats": f"x0:{value},utilization:0.5"}).load_report() == {"busy": 0.5}


def test_a_batch_is_answered_with_its_number() -> None:
    assert serve(batch(turn=12)) == (0, ["READY\tturn=12"], "")


def test_a_request_is_probed_for_and_sent() -> None:
    text = batch(*configure(3)) + batch(
        "ARRIVAL\tbalancer=3\trequestId=d8\texpiresInUs=2000000\tservice=web\tresource=k",
        turn=2,
        clock=5_100_000,
    )
    text += batch(
        "CHECKED\tbalancer=3\tserver=s1\tverdict=pass\tstats=x0:0.6",
        "CHECKED\tbalancer=3\tserver=s2\tverdict=pass\tstats=x0:0.1",
        turn=3,
        clock=5_110_000,
    )
    status, lines, errors = serve(text)
    assert (status, errors) == (0, "")
    probes = [line for line in lines if line.startswith("PROBE")]
    assert sorted(probes) == ["PROBE\tbalancer=3\tserver=s1", "PROBE\tbalancer=3\tserver=s2"]
    assert [line.split("\t")[3] for line in lines if line.startswith("TRANSMIT")] == ["server=s2"]


@pytest.mark.parametrize(
    ("lines", "word"),
    [
        (["ARRIVAL\tbalancer=3\tservice=web"], "requestId is missing"),
        (["ARRIVAL\tbalancer=3\trequestId=d8\tservice=web\texpiresInUs=soon"], "expiresInUs is not a whole"),
        (["ARRIVAL\tbalancer=three\trequestId=d8"], "balancer is not a whole number: three"),
        (["ARRIVAL\tbalancer"], "'balancer' is not name=value"),
        (["FLEET\tbalancer=3\tkind=replace\tbuffer=9"], "list 9"),
        (["ROW\tserver=s1\tstatus=Running"], "ROW beyond"),
        (["ROSTER\tbuffer=1\trowsIn=2", "BELL\tbalancer=3\ttag=x"], "2 more ROW lines are due"),
        (["CONFIGURE\tbalancer=4\tprng=1\tprofileData={]"], "no JSON"),
    ],
)
def test_malformed_lines_end_in_a_plain_fault(lines: list[str], word: str) -> None:
    status, out, errors = serve(batch(*configure(3)) + batch(*lines, turn=2))
    assert status == 1
    assert out[-2].startswith("FAULT\t")
    assert word in out[-2]
    assert out[-1] == "READY\tturn=2"
    assert word in errors
    assert "Traceback" not in errors


@pytest.mark.parametrize("key", ["classes", "fleetSize", "discovery", "limits", "rules"])
def test_a_missing_setting_is_named(key: str) -> None:
    profile = {name: value for name, value in PROFILE.items() if name != key}
    with pytest.raises(SettingsError, match=f"lacks the key {key}"):
        parse_settings(json.dumps(profile))


def test_a_setting_nobody_could_balance_by_is_named() -> None:
    with pytest.raises(ValueError, match="fleet_size must be 1 or more"):
        parse_settings(json.dumps(PROFILE | {"fleetSize": 0}))


def test_input_cut_off_inside_a_batch_is_said_and_a_clean_end_is_clean() -> None:
    status, out, errors = serve("ROUND\tclockUs=1\tturn=1\n")
    assert (status, out) == (1, [])
    assert "inside a batch" in errors
    assert serve("") == (0, [], "")


def test_unknown_messages_and_instances_are_passed_over() -> None:
    lines = ["OMEN\tbalancer=3\tx=1", "MAIL\tbalancer=3\tby=1\tbody=00", "BELL\tbalancer=77\ttag=slot"]
    assert serve(batch(*lines))[:2] == (0, ["READY\tturn=1"])


def test_a_stopped_instance_is_void() -> None:
    arrival = "ARRIVAL\tbalancer=3\trequestId=d8\texpiresInUs=2000000\tservice=web"
    text = batch(*configure(3)) + batch("TEARDOWN\tbalancer=3", arrival, turn=2)
    assert serve(text)[1][-1] == "READY\tturn=2"
    assert not any("d8" in line for line in serve(text)[1])


def test_instances_act_alike_alone_and_together() -> None:
    def events(instance: int, turn: int) -> list[str]:
        return [
            f"ARRIVAL\tbalancer={instance}\trequestId={turn:02x}\texpiresInUs=2000000\tservice=web\tresource=k{turn}"
        ]

    def play(instances: list[int]) -> list[str]:
        text = batch(*[line for number in instances for line in configure(number, seed=number)])
        for turn in range(2, 30):
            text += batch(
                *[line for number in instances for line in events(number, turn)],
                turn=turn,
                clock=5_000_000 + turn * 70_000,
            )
        return serve(text)[1]

    together = play([1, 2, 3])
    for number in (1, 2, 3):
        mine = [line for line in together if f"\tbalancer={number}" in line]
        assert mine == [line for line in play([number]) if f"\tbalancer={number}" in line]
        assert len(mine) > 30
