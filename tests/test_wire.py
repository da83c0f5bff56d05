"""The simulator's wire protocol: every message in both directions, complete batches, and invalid input."""

import io
import json
from typing import Any

import pytest

from wheatstile import interface as api
from wheatstile.config.errors import SettingsError
from wheatstile.config.settings import parse_settings
from wheatstile.simulator import host, wire
from wheatstile.simulator.line import Fields, parse_line

STATUS_NOTE = "STATUS_NOTE\tbalancer=3\trequestId=d8\tx=12.5\tserver=s1"
SETTINGS: dict[str, Any] = {
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


def batch(*lines: str, turn: int = 1, clock_us: int = 5_000_000) -> str:
    """Return the text of one batch at this time."""
    return "\n".join([f"ROUND\tclockUs={clock_us}\tturn={turn}", *lines, "FLUSH", ""])


def configure(instance: int, settings: dict[str, Any] | None = None, seed: int = 7) -> list[str]:
    """Return the lines that start an instance with two servers: `s1` in its zone, `s2` in another."""
    return [
        f"CONFIGURE\tbalancer={instance}\tprng={seed}\tprofileData={json.dumps(settings or SETTINGS)}",
        "ROSTER\tbuffer=0\trowsIn=2",
        "ROW\tshare=1\taz=here\tstatus=Running\tserver=s1",
        "ROW\tshare=1\taz=there\tstatus=Running\tserver=s2\tnovelty=1",
        f"FLEET\tbalancer={instance}\tgeneration=1\tkind=restored\tbuffer=0",
    ]


def serve(text: str) -> tuple[int, list[str], str]:
    """Run the host on this input. Return its exit status, the lines of its output, and its errors."""
    output = io.StringIO()
    errors = io.StringIO()
    status = host.serve(io.StringIO(text), output, errors)
    return status, output.getvalue().splitlines(), errors.getvalue()


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
        (f"{STATUS_NOTE}\ttopic=1", api.ConnectionLoadChanged("d8", "s1", 12.5)),
        (f"{STATUS_NOTE}\ttopic=2", api.MessageLatencyChanged("d8", "s1", 12.5)),
        (f"{STATUS_NOTE}\ttopic=9", None),
        ("BELL\tbalancer=3\ttag=slot", api.TimerFired(api.TimerToken(api.TimerKind.EXPLORATION_SLOT))),
    ],
)
def test_message_line_is_parsed_as_its_event(line: str, event: api.Event | None) -> None:
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
def test_action_is_formatted_as_a_line(action: api.Action, line: str) -> None:
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
def test_timer_token_is_formatted_and_parsed(token: api.TimerToken, text: str) -> None:
    assert wire.format_timer(token) == text
    assert wire.parse_timer(text) == token


@pytest.mark.parametrize("text", ["unheard-of", "hold", "hold:x", "hold:x:d8", "slot::d8", "other:1:d8", ""])
def test_unknown_timer_is_ignored(text: str) -> None:
    assert wire.EVENTS["BELL"](Fields({"tag": text})) is None


def test_every_action_of_the_interface_has_a_line_format() -> None:
    assert set(wire.ACTIONS) == set(api.Action.__args__)


@pytest.mark.parametrize("value", ["nan", "inf", "-1", "many", ""])
def test_invalid_value_in_a_load_report_counts_as_absent(value: str) -> None:
    assert Fields({"stats": f"x0:{value},utilization:0.5"}).load_report() == {"busy": 0.5}


def test_batch_is_answered_with_its_turn_number() -> None:
    assert serve(batch(turn=12)) == (0, ["READY\tturn=12"], "")


def test_request_is_sent_to_the_less_loaded_server_after_health_checks() -> None:
    text = batch(*configure(3)) + batch(
        "ARRIVAL\tbalancer=3\trequestId=d8\texpiresInUs=2000000\tservice=web\tresource=k",
        turn=2,
        clock_us=5_100_000,
    )
    text += batch(
        "CHECKED\tbalancer=3\tserver=s1\tverdict=pass\tstats=x0:0.6",
        "CHECKED\tbalancer=3\tserver=s2\tverdict=pass\tstats=x0:0.1",
        turn=3,
        clock_us=5_110_000,
    )
    status, lines, errors = serve(text)
    assert (status, errors) == (0, "")
    health_checks = [line for line in lines if line.startswith("PROBE")]
    assert sorted(health_checks) == ["PROBE\tbalancer=3\tserver=s1", "PROBE\tbalancer=3\tserver=s2"]
    assert [line.split("\t")[3] for line in lines if line.startswith("TRANSMIT")] == ["server=s2"]


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        (["ARRIVAL\tbalancer=3\tservice=web"], "requestId is missing"),
        (["ARRIVAL\tbalancer=3\trequestId=d8\tservice=web\texpiresInUs=soon"], "expiresInUs is not a whole"),
        (["ARRIVAL\tbalancer=three\trequestId=d8"], "balancer is not a whole number: three"),
        (["ARRIVAL\tbalancer"], "'balancer' is not name=value"),
        (["FLEET\tbalancer=3\tkind=replace\tbuffer=9"], "list 9"),
        (["ROW\tserver=s1\tstatus=Running"], "ROW beyond"),
        (["ROSTER\tbuffer=1\trowsIn=2", "BELL\tbalancer=3\ttag=x"], "2 more ROW lines are due"),
        (["CONFIGURE\tbalancer=4\tprng=1\tprofileData={]"], "not valid JSON"),
    ],
)
def test_malformed_line_ends_the_host_with_the_reason(lines: list[str], reason: str) -> None:
    status, output, errors = serve(batch(*configure(3)) + batch(*lines, turn=2))
    assert status == 1
    assert output[-2].startswith("FAULT\t")
    assert reason in output[-2]
    assert output[-1] == "READY\tturn=2"
    assert reason in errors
    assert "Traceback" not in errors


@pytest.mark.parametrize("key", ["classes", "fleetSize", "discovery", "limits", "rules"])
def test_error_names_the_missing_setting(key: str) -> None:
    settings = {name: value for name, value in SETTINGS.items() if name != key}
    with pytest.raises(SettingsError, match=f"the key {key} is missing"):
        parse_settings(json.dumps(settings))


def test_error_names_the_setting_whose_value_is_out_of_range() -> None:
    with pytest.raises(ValueError, match="fleet_size must be 1 or more"):
        parse_settings(json.dumps(SETTINGS | {"fleetSize": 0}))


def test_input_that_ends_inside_a_batch_is_an_error_and_empty_input_is_not() -> None:
    status, output, errors = serve("ROUND\tclockUs=1\tturn=1\n")
    assert (status, output) == (1, [])
    assert "inside a batch" in errors
    assert serve("") == (0, [], "")


def test_unknown_messages_and_instances_are_ignored() -> None:
    lines = ["OMEN\tbalancer=3\tx=1", "MAIL\tbalancer=3\tby=1\tbody=00", "BELL\tbalancer=77\ttag=slot"]
    assert serve(batch(*lines))[:2] == (0, ["READY\tturn=1"])


def test_stopped_instance_ignores_events() -> None:
    arrival = "ARRIVAL\tbalancer=3\trequestId=d8\texpiresInUs=2000000\tservice=web"
    text = batch(*configure(3)) + batch("TEARDOWN\tbalancer=3", arrival, turn=2)
    assert serve(text)[1][-1] == "READY\tturn=2"
    assert not any("d8" in line for line in serve(text)[1])


def test_instance_returns_the_same_actions_alone_and_with_other_instances() -> None:
    def request_lines(instance: int, turn: int) -> list[str]:
        return [
            f"ARRIVAL\tbalancer={instance}\trequestId={turn:02x}\texpiresInUs=2000000\tservice=web\tresource=k{turn}"
        ]

    def run_instances(instances: list[int]) -> list[str]:
        text = batch(*[line for number in instances for line in configure(number, seed=number)])
        for turn in range(2, 30):
            text += batch(
                *[line for number in instances for line in request_lines(number, turn)],
                turn=turn,
                clock_us=5_000_000 + turn * 70_000,
            )
        return serve(text)[1]

    together = run_instances([1, 2, 3])
    for number in (1, 2, 3):
        lines = [line for line in together if f"\tbalancer={number}" in line]
        assert lines == [line for line in run_instances([number]) if f"\tbalancer={number}" in line]
        assert len(lines) > 30
