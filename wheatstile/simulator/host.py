"""Runs instances of the decision module for the simulator, over standard input and standard output."""

import sys
from collections.abc import Iterable
from typing import TextIO

from wheatstile import interface as api
from wheatstile.config.settings import parse_settings
from wheatstile.decisions import Balancer
from wheatstile.simulator import wire
from wheatstile.simulator.line import Fields, WireError, parse_line
from wheatstile.simulator.wire import Message

EXIT_OK = 0
EXIT_FAULT = 1
MAX_NAME_LENGTH = 40  # maximum characters of a message's name in the text of a fault
MAX_FAULT_LENGTH = 300  # maximum characters in the text of a fault


class Host:
    """Handles batches of messages for instances of the decision module, which are identified by numbers."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.endpoint_lists: dict[int, list[api.Endpoint]] = {}  # lists by number; all instances share them
        self.missing_rows = 0  # rows that are still missing from the current list
        self.rows: list[api.Endpoint] = []
        self.now_us: int | None = None  # time of the current batch; None outside a batch
        self.turn = "0"  # number of the current batch, which the reply repeats
        self.instance_number = 0  # instance that the current line addresses; reported in a fault
        self.reply: list[str] = []

    def receive(self, line: str) -> bool:
        """Handle one line of a batch. Return whether the batch, and with it the reply, is complete.

        Raises WireError, or SettingsError if an instance's settings are invalid.
        """
        name, fields = parse_line(line)
        if name == Message.BATCH_STARTED:
            self._start_batch(fields)
            return False
        if self.now_us is None:
            raise WireError(f"{name} outside a batch")
        if name == Message.ENDPOINT:
            self._add_endpoint(fields)
            return False
        if self.missing_rows:
            raise WireError(f"{name} where {self.missing_rows} more ROW lines are due")
        if name == Message.BATCH_ENDED:
            self.now_us = None
            self.reply.append(wire.ready_line(self.turn))
            return True
        if name == Message.ENDPOINT_LIST:
            self._start_endpoint_list(fields)
        else:
            self._handle_instance_message(name, fields, self.now_us)
        return False

    def _start_batch(self, fields: Fields) -> None:
        if self.now_us is not None:
            raise WireError("ROUND before the last batch's FLUSH")
        self.now_us = fields.integer("clockUs")
        self.turn = fields.text("turn")
        self.reply = []

    def _start_endpoint_list(self, fields: Fields) -> None:
        self.missing_rows = fields.integer("rowsIn")
        self.rows = []
        if self.missing_rows < 0:
            raise WireError(f"rowsIn is negative: {self.missing_rows}")
        self.endpoint_lists[fields.integer("buffer")] = self.rows

    def _add_endpoint(self, fields: Fields) -> None:
        if self.missing_rows == 0:
            raise WireError("ROW beyond the number that ROSTER gave")
        self.rows.append(wire.parse_endpoint(fields))
        self.missing_rows -= 1

    def _handle_instance_message(self, name: str, fields: Fields, now_us: int) -> None:
        """Handle a message to one instance, and add the resulting actions to the reply."""
        self.instance_number = fields.integer("balancer")
        if name == Message.START_INSTANCE:
            self._start_instance(fields, now_us)
        elif name == Message.STOP_INSTANCE:
            self.instances.pop(self.instance_number, None)
        elif name == Message.ENDPOINT_UPDATE:
            self._dispatch(self._endpoint_update(fields), now_us)
        elif name in wire.EVENTS:
            self._dispatch(wire.EVENTS[name](fields), now_us)

    def _start_instance(self, fields: Fields, now_us: int) -> None:
        seed = fields.integer("prng")
        balancer = Balancer(parse_settings(fields.text("profileData")), seed)
        self.instances[self.instance_number] = balancer
        self._add_actions(balancer.start(now_us))

    def _endpoint_update(self, fields: Fields) -> api.EndpointUpdate | None:
        """Return the endpoint update of a message; None for an unknown kind."""
        kind = wire.UPDATE_KINDS.get(fields.text("kind"))
        if kind is api.EndpointUpdateKind.FAILED:
            return api.EndpointUpdate(kind, [])
        buffer = fields.integer("buffer")
        if buffer not in self.endpoint_lists:
            raise WireError(f"FLEET names list {buffer}, which no ROSTER defined")
        return api.EndpointUpdate(kind, self.endpoint_lists[buffer]) if kind else None

    def _dispatch(self, event: api.Event | None, now_us: int) -> None:
        balancer = self.instances.get(self.instance_number)
        if event is not None and balancer is not None:
            self._add_actions(balancer.handle(now_us, event))

    def _add_actions(self, actions: Iterable[api.Action]) -> None:
        self.reply += [wire.action_line(self.instance_number, action) for action in actions]


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer batches until the input ends, and return the exit status."""
    host = Host()
    for raw_line in source:
        line = raw_line.rstrip("\n")
        if not line:
            continue
        try:
            is_complete = host.receive(line)
        except Exception as error:  # every failure is reported to the simulator
            _report_fault(host, _fault_text(line, error), sink, errors)
            return EXIT_FAULT
        if is_complete:
            _write(sink, host.reply)
    if host.now_us is not None:
        errors.write("wheatstile: the input ended inside a batch\n")
        return EXIT_FAULT
    return EXIT_OK


def _fault_text(line: str, error: Exception) -> str:
    reason = str(error) if isinstance(error, ValueError) else f"{type(error).__name__}: {error}"
    name = line.partition("\t")[0][:MAX_NAME_LENGTH]
    return f"{name}: {reason}"[:MAX_FAULT_LENGTH]


def _report_fault(host: Host, text: str, sink: TextIO, errors: TextIO) -> None:
    errors.write(f"wheatstile: {text}\n")
    if host.now_us is not None:
        _write(sink, [wire.fault_line(host.instance_number, text), wire.ready_line(host.turn)])


def _write(sink: TextIO, lines: Iterable[str]) -> None:
    sink.write("\n".join(lines) + "\n")
    sink.flush()


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
