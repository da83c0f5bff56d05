"""JSON encoding of the messages between the balancer and the worker, with file names that are not UTF-8."""

import json

import pytest

from wheatstile.config.operator import Operator
from wheatstile.descriptions.worker_protocol import (
    ClassSettings,
    CompilationRejected,
    CompilationResult,
    CompilationSummary,
    CompiledClass,
    CompileRequest,
    decode_result,
    encode_result,
)
from wheatstile.interface import DeduplicationScope, Idempotency

UNDECODABLE_NAME = "caf\udce9.yaml"  # the result of os.fsdecode for a file name in Latin-1
SUMMARY = CompilationSummary(
    classes={"web": CompiledClass(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 60)},
    route_count=1,
    files=[UNDECODABLE_NAME],
    warnings=["w"],
)
SUMMARY_JSON = {
    "classes": {"web": ["keyed", "zone", 60]},
    "routes": 1,
    "read": [UNDECODABLE_NAME],
    "warnings": ["w"],
}
REJECTED = CompilationRejected(reasons=["r"], reason_count=7)
REJECTED_JSON = {"refused": ["r"], "faults": 7}


@pytest.mark.parametrize(
    ("result", "fields"), [(SUMMARY, SUMMARY_JSON), (REJECTED, REJECTED_JSON)], ids=["summary", "rejected"]
)
def test_result_round_trips_through_json(result: CompilationResult, fields: object) -> None:
    encoded = encode_result(result)
    assert json.loads(encoded) == fields
    assert decode_result(encoded) == result


UNKNOWN_KEYWORD = b'{"classes": {"web": ["always", "zone", 60]}, "routes": 1, "read": [], "warnings": []}'


@pytest.mark.parametrize("data", [b"", b"[]", b"{}", b'{"refused": 1}', b"\xff", UNKNOWN_KEYWORD])
def test_invalid_result_raises_value_error(data: bytes) -> None:
    with pytest.raises(ValueError):  # noqa: PT011  each of the three codecs raises a different subclass
        decode_result(data)


def test_request_round_trips_through_json() -> None:
    settings = ClassSettings(Idempotency.IDEMPOTENT, DeduplicationScope.UNKNOWN, 0, 2_000_000)
    request = CompileRequest(
        operator_path=f"/etc/{UNDECODABLE_NAME}",
        classes={"web": settings},
        settings=Operator(),
        max_attempts=5,
    )
    encoded = request.encode()
    fields = json.loads(encoded)
    assert fields.keys() == {"operator", "classes", "settings", "max_attempts"}
    assert fields["classes"] == {"web": ["safe", "unknown", 0, 2_000_000]}
    assert CompileRequest.decode(encoded) == request
