"""Draws services, routes and service classes as an SVG image with three columns."""

from collections.abc import Mapping, Sequence

import drawsvg

from wheatstile.descriptions.compile_types import Route
from wheatstile.descriptions.keywords import IDEMPOTENCY_KEYWORDS
from wheatstile.interface import Idempotency

# Lengths are in pixels.
ROW_HEIGHT = 22
WIDTH = 1180
MARGIN = 20
FONT_SIZE = 12
HEADING_FONT_SIZE = 14
FIRST_BASELINE = 3 * MARGIN  # baseline of the first row
VERTICAL_PADDING = 4 * MARGIN  # space above and below the rows, including the headings
SERVICE_X = MARGIN
ROUTE_X = 330
CLASS_X = 980
SERVICE_WIDTH = 200
ROUTE_WIDTH = 560
LINE_GAP = 8  # distance between the end of a line and the adjacent text
TEXT_MIDDLE = 4  # distance from the baseline of a text to its vertical middle
MAX_SERVICE_CHARACTERS = 30
MAX_ROUTE_CHARACTERS = 80
MAX_CLASS_CHARACTERS = 25
NO_CLASS_LABEL = "(none)"
SERVICE_LINE_COLOUR = "#bbbbbb"
ROUTE_COLOURS = {
    Idempotency.IDEMPOTENT: "#2b7a3d",
    Idempotency.IDEMPOTENCY_KEY: "#a86b00",
    Idempotency.NON_IDEMPOTENT: "#a32020",
}


def draw(routes: Sequence[Route], titles: Mapping[str, str]) -> drawsvg.Drawing:
    """Return a drawing with a line from each service to its routes, and from each route to its class.

    The colour of a route depends on its idempotency. `titles` maps each file to the title of its description.
    """
    sorted_routes = sorted(routes, key=_sort_key)
    drawing = _empty_drawing(len(sorted_routes))
    service_positions = _vertical_positions([route.operation.location.file for route in sorted_routes])
    class_positions = _vertical_positions([route.service_class or NO_CLASS_LABEL for route in sorted_routes])
    for index, route in enumerate(sorted_routes):
        service_y = service_positions[route.operation.location.file]
        class_y = class_positions[route.service_class or NO_CLASS_LABEL]
        _draw_route(drawing, route, FIRST_BASELINE + index * ROW_HEIGHT, service_y, class_y)
    for file, middle in service_positions.items():
        title = titles.get(file, file)[:MAX_SERVICE_CHARACTERS]
        drawing.append(drawsvg.Text(title, FONT_SIZE, SERVICE_X, middle + TEXT_MIDDLE))
    for name, middle in class_positions.items():
        drawing.append(drawsvg.Text(name[:MAX_CLASS_CHARACTERS], FONT_SIZE, CLASS_X, middle + TEXT_MIDDLE))
    return drawing


def _sort_key(route: Route) -> tuple[str, str, str]:
    return route.operation.location.file, route.template, route.operation.action


def _empty_drawing(row_count: int) -> drawsvg.Drawing:
    """Return a drawing with column headings on a white background, sized for this number of rows."""
    height = max(1, row_count) * ROW_HEIGHT + VERTICAL_PADDING
    drawing = drawsvg.Drawing(WIDTH, height, id_prefix="w")
    drawing.append(drawsvg.Rectangle(0, 0, WIDTH, height, fill="white"))
    for x, heading in ((SERVICE_X, "service"), (ROUTE_X, "route"), (CLASS_X, "class")):
        drawing.append(drawsvg.Text(heading, HEADING_FONT_SIZE, x, MARGIN, font_weight="bold"))
    return drawing


def _draw_route(
    drawing: drawsvg.Drawing, route: Route, baseline: int, service_y: float, class_y: float
) -> None:
    idempotency = route.retry_safety.idempotency
    colour = ROUTE_COLOURS[idempotency]
    middle = baseline - TEXT_MIDDLE
    text = f"{route.operation.action} {route.template} ({IDEMPOTENCY_KEYWORDS.keyword(idempotency)})"
    drawing.append(
        drawsvg.Line(
            SERVICE_X + SERVICE_WIDTH, service_y, ROUTE_X - LINE_GAP, middle, stroke=SERVICE_LINE_COLOUR
        )
    )
    drawing.append(drawsvg.Line(ROUTE_X + ROUTE_WIDTH, middle, CLASS_X - LINE_GAP, class_y, stroke=colour))
    drawing.append(drawsvg.Text(text[:MAX_ROUTE_CHARACTERS], FONT_SIZE, ROUTE_X, baseline, fill=colour))


def _vertical_positions(names: Sequence[str]) -> dict[str, float]:
    """Return the vertical position of each name: the middle of its rows, or lower to avoid overlaps."""
    rows_by_name: dict[str, list[int]] = {}
    for row, name in enumerate(names):
        rows_by_name.setdefault(name, []).append(row)
    positions: dict[str, float] = {}
    position = 0.0
    for name, rows in sorted(rows_by_name.items(), key=lambda item: sum(item[1]) / len(item[1])):
        middle = FIRST_BASELINE + ROW_HEIGHT * sum(rows) / len(rows) - TEXT_MIDDLE
        position = max(middle, position + ROW_HEIGHT)
        positions[name] = position
    return positions
