"""Routes as the tables and the JSON of `wheatstile descriptions` show them."""

from collections.abc import Iterable

import msgspec

from wheatstile.descriptions.compile_types import Route


class MessageRow(msgspec.Struct):
    """One message of an operation, as JSON shows it."""

    name: str
    discriminator: str
    max_bytes: int | None = msgspec.field(name="most_bytes")


class RouteRow(msgspec.Struct, rename={"service_class": "class", "location": "place"}):
    """One route, as tables and JSON show it."""

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
            repeat=safety.idempotency,
            why=f"{safety.reason} ({safety.location.short()})",
            location=operation.location.short(),
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
        """Return the values of these columns."""
        values = msgspec.to_builtins(self)
        return [values[column] for column in columns]
