"""Rows of the tables and the JSON that `wheatstile descriptions` prints.

A field has the name of its table column and of its JSON key, except where `name` or `rename` replaces it.
"""

from collections.abc import Iterable

import msgspec

from wheatstile.descriptions.compile_types import Route
from wheatstile.descriptions.keywords import IDEMPOTENCY_KEYWORDS


class MessageRow(msgspec.Struct):
    """A message of an operation."""

    name: str
    discriminator: str
    max_bytes: int | None = msgspec.field(name="most_bytes")


class RouteRow(msgspec.Struct, rename={"service_class": "class", "location": "place"}):
    """A route. Tables show some of its fields, JSON shows all."""

    action: str
    route: str
    service_class: str
    repeat: str
    why: str
    location: str
    operation: str
    description: str
    queue: str
    reply: str
    messages: list[MessageRow]

    @classmethod
    def from_route(cls, route: Route) -> "RouteRow":
        """Return the row of a compiled route."""
        operation = route.operation
        safety = route.retry_safety
        return cls(
            action=operation.action,
            route=route.template,
            service_class=route.service_class,
            repeat=IDEMPOTENCY_KEYWORDS.keyword(safety.idempotency),
            why=f"{safety.reason} ({safety.location.file_and_line()})",
            location=operation.location.file_and_line(),
            operation=operation.id,
            description=operation.location.file,
            queue=operation.queue_group,
            reply=operation.reply,
            messages=[
                MessageRow(message.name, message.discriminator, message.max_bytes)
                for message in operation.messages
            ],
        )

    def cells(self, columns: Iterable[str]) -> list[str]:
        """Return the values of these columns, in this order."""
        values = msgspec.to_builtins(self)
        return [values[column] for column in columns]
