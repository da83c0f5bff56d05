"""Draws services, routes and service classes as a picture of three columns."""

from collections.abc import Mapping, Sequence

import drawsvg

from wheatstile.descriptions.compile_types import Route
from wheatstile.interface import Idempotency

ROW_HEIGHT = 22
WIDTH = 1180
MARGIN = 20
FONT_SIZE = 12
TOP = 3 * MARGIN  # baseline of the first row
SERVICE_X = MARGIN
ROUTE_X = 330
CLASS_X = 980
SERVICE_WIDTH = 200
ROUTE_WIDTH = 560
LINE_GAP = 8  # between a line and the text that it leads to
TEXT_MIDDLE = 4  # above the baseline
MAX_SERVICE_CHARACTERS = 30
MAX_ROUTE_CHARACTERS = 80
MAX_CLASS_CHARACTERS = 25
NO_CLASS = "(none)"
SERVICE_LINE_COLOUR = "#bbbbbb"
COLOURS = {
    Idempotency.IDEMPOTENT: "#2b7a3d",
    Idempotency.IDEMPOTENCY_KEY: "#a86b00",
    Idempotency.NON_IDEMPOTENT: "#a32020",
}


def draw(routes: Sequence[Route], titles: Mapping[str, str]) -> drawsvg.Drawing:
    """Return a line from each service to its routes and on to their classes, coloured by retry safety.

    titles: the title of a description by its file.
    """
    ordered = sorted(routes, key=_by_file_and_route)
    picture = _blank_picture(len(ordered))
    services = _heights([route.operation.location.file for route in ordered])
    classes = _heights([route.service_class or NO_CLASS for route in ordered])
    for index, route in enumerate(ordered):
        service_y = services[route.operation.location.file]
        class_y = classes[route.service_class or NO_CLASS]
        _draw_route(picture, route, TOP + index * ROW_HEIGHT, service_y, class_y)
    for file, height in services.items():
        title = titles.get(file, file)[:MAX_SERVICE_CHARACTERS]
        picture.append(drawsvg.Text(title, FONT_SIZE, SERVICE_X, height + TEXT_MIDDLE))
    for name, height in classes.items():
        picture.append(drawsvg.Text(name[:MAX_CLASS_CHARACTERS], FONT_SIZE, CLASS_X, height + TEXT_MIDDLE))
    return picture


def _by_file_and_route(route: Route) -> tuple[str, str, str]:
    return route.operation.location.file, route.template, route.operation.action


def _blank_picture(rows: int) -> drawsvg.Drawing:
    """Return a white picture with the headings of the columns."""
    height = max(1, rows) * ROW_HEIGHT + 4 * MARGIN
    picture = drawsvg.Drawing(WIDTH, height, id_prefix="w")
    picture.append(drawsvg.Rectangle(0, 0, WIDTH, height, fill="white"))
    for left, heading in ((SERVICE_X, "service"), (ROUTE_X, "route"), (CLASS_X, "class")):
        picture.append(drawsvg.Text(heading, FONT_SIZE + 2, left, MARGIN, font_weight="bold"))
    return picture


def _draw_route(
    picture: drawsvg.Drawing, route: Route, baseline: int, service_y: float, class_y: float
) -> None:
    idempotency = route.retry_safety.idempotency
    colour = COLOURS[idempotency]
    middle = baseline - TEXT_MIDDLE
    text = f"{route.operation.action} {route.template} ({idempotency})"
    picture.append(
        drawsvg.Line(
            SERVICE_X + SERVICE_WIDTH, service_y, ROUTE_X - LINE_GAP, middle, stroke=SERVICE_LINE_COLOUR
        )
    )
    picture.append(drawsvg.Line(ROUTE_X + ROUTE_WIDTH, middle, CLASS_X - LINE_GAP, class_y, stroke=colour))
    picture.append(drawsvg.Text(text[:MAX_ROUTE_CHARACTERS], FONT_SIZE, ROUTE_X, baseline, fill=colour))


def _heights(names: Sequence[str]) -> dict[str, float]:
    """Return the height of each name, at the middle of its rows; names are at least one row apart."""
    rows_by_name: dict[str, list[int]] = {}
    for row, name in enumerate(names):
        rows_by_name.setdefault(name, []).append(row)
    heights: dict[str, float] = {}
    previous = 0.0
    for name, rows in sorted(rows_by_name.items(), key=lambda item: sum(item[1]) / len(item[1])):
        middle = TOP + ROW_HEIGHT * sum(rows) / len(rows) - TEXT_MIDDLE
        previous = max(middle, previous + ROW_HEIGHT)
        heights[name] = previous
    return heights
