"""Runs instances of the decision module for the simulator, from standard input to standard output."""

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
MAX_NAME_SHOWN = 40  # characters of a message's name in the text of a fault
MAX_FAULT_SHOWN = 300  # characters of the text of a fault


class Host:
    """Keeps the instances of the decision module by number, and handles batches of messages."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.endpoint_lists: dict[int, list[api.Endpoint]] = {}  # by number, shared by the instances
        self.rows_due = 0  # rows still expected of the list being read
        self.rows: list[api.Endpoint] = []
        self.now_us: int | None = None  # None: outside a batch
        self.turn = "0"
        self.instance = 0  # addressed by the line being read; named in a fault
        self.reply: list[str] = []

    def receive(self, line: str) -> bool:
        """Handle one line of a batch. Return whether the batch, and so its reply, is complete.

        Raise WireError, or SettingsError for an instance's settings.
        """
        name, fields = parse_line(line)
        if name == Message.BATCH_STARTED:
            self._start_batch(fields)
            return False
        if self.now_us is None:
            raise WireError(f"{name} outside a batch")
        if name == Message.ENDPOINT:
            self._add_row(fields)
            return False
        if self.rows_due:
            raise WireError(f"{name} where {self.rows_due} more ROW lines are due")
        if name == Message.BATCH_ENDED:
            self.now_us = None
            self.reply.append(wire.ready_line(self.turn))
            return True
        if name == Message.ENDPOINT_LIST:
            self._start_list(fields)
        else:
            self._handle(name, fields, self.now_us)
        return False

    def _start_batch(self, fields: Fields) -> None:
        if self.now_us is not None:
            raise WireError("ROUND before the last batch's FLUSH")
        self.now_us = fields.integer("clockUs")
        self.turn = fields.text("turn")
        self.reply = []

    def _start_list(self, fields: Fields) -> None:
        self.rows_due = fields.integer("rowsIn")
        self.rows = []
        if self.rows_due < 0:
            raise WireError(f"rowsIn is negative: {self.rows_due}")
        self.endpoint_lists[fields.integer("buffer")] = self.rows

    def _add_row(self, fields: Fields) -> None:
        if self.rows_due == 0:
            raise WireError("ROW beyond the number that ROSTER gave")
        self.rows.append(wire.endpoint(fields))
        self.rows_due -= 1

    def _handle(self, name: str, fields: Fields, now_us: int) -> None:
        """Handle a message to one instance, and add the actions to the reply."""
        self.instance = fields.integer("balancer")
        if name == Message.START_INSTANCE:
            self._start_instance(fields, now_us)
        elif name == Message.STOP_INSTANCE:
            self.instances.pop(self.instance, None)
        elif name == Message.ENDPOINT_UPDATE:
            self._dispatch(self._endpoint_update(fields), now_us)
        elif name in wire.EVENTS:
            self._dispatch(wire.EVENTS[name](fields), now_us)

    def _start_instance(self, fields: Fields, now_us: int) -> None:
        seed = fields.integer("prng")
        balancer = Balancer(parse_settings(fields.text("profileData")), seed)
        self.instances[self.instance] = balancer
        self._add_actions(balancer.start(now_us))

    def _endpoint_update(self, fields: Fields) -> api.EndpointUpdate | None:
        """Return the update of an endpoint list; None for an unknown kind."""
        kind = wire.UPDATE_KINDS.get(fields.text("kind"))
        if kind is api.EndpointUpdateKind.FAILED:
            return api.EndpointUpdate(kind, [])
        buffer = fields.integer("buffer")
        if buffer not in self.endpoint_lists:
            raise WireError(f"FLEET names list {buffer}, which no ROSTER defined")
        return api.EndpointUpdate(kind, self.endpoint_lists[buffer]) if kind else None

    def _dispatch(self, event: api.Event | None, now_us: int) -> None:
        balancer = self.instances.get(self.instance)
        if event is not None and balancer is not None:
            self._add_actions(balancer.handle(now_us, event))

    def _add_actions(self, actions: Iterable[api.Action]) -> None:
        self.reply += [wire.action_line(self.instance, action) for action in actions]


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer batches until the input ends. Return the exit status."""
    host = Host()
    for raw_line in source:
        line = raw_line.rstrip("\n")
        if not line:
            continue
        try:
            is_complete = host.receive(line)
        except Exception as error:  # any failure is reported on the wire
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
    name = line.partition("\t")[0][:MAX_NAME_SHOWN]
    return f"{name}: {reason}"[:MAX_FAULT_SHOWN]


def _report_fault(host: Host, text: str, sink: TextIO, errors: TextIO) -> None:
    errors.write(f"wheatstile: {text}\n")
    if host.now_us is not None:
        _write(sink, [wire.fault_line(host.instance, text), wire.ready_line(host.turn)])


def _write(sink: TextIO, lines: Iterable[str]) -> None:
    sink.write("\n".join(lines) + "\n")
    sink.flush()


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
