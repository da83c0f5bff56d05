"""Services, routes and classes as a picture of three columns."""

from collections.abc import Mapping, Sequence

import drawsvg

from wheatstile.descriptions.compile import Route

ROW, WIDTH, MARGIN, FONT = 22, 1180, 20, 12
COLUMNS = (MARGIN, 330, 980)
COLOURS = {"safe": "#2b7a3d", "keyed": "#a86b00", "unsafe": "#a32020"}


def drawing(routes: Sequence[Route], titles: Mapping[str, str]) -> drawsvg.Drawing:
    """One line from each service to its routes, coloured by what may be repeated, and on to their classes."""
    ordered = sorted(routes, key=lambda one: (one.operation.place.file, one.template, one.operation.action))
    height = max(1, len(ordered)) * ROW + 4 * MARGIN
    picture = drawsvg.Drawing(WIDTH, height, id_prefix="w")
    picture.append(drawsvg.Rectangle(0, 0, WIDTH, height, fill="white"))
    for x, title in zip(COLUMNS, ("service", "route", "class"), strict=True):
        picture.append(drawsvg.Text(title, FONT + 2, x, MARGIN, font_weight="bold"))
    services = _heights(ordered, [one.operation.place.file for one in ordered])
    classes = _heights(ordered, [one.service_class or "(none)" for one in ordered])
    for index, route in enumerate(ordered):
        y = 3 * MARGIN + index * ROW
        colour = COLOURS[route.verdict.repeat]
        service = services[route.operation.place.file]
        name = classes[route.service_class or "(none)"]
        picture.append(drawsvg.Line(COLUMNS[0] + 200, service, COLUMNS[1] - 8, y - 4, stroke="#bbbbbb"))
        picture.append(drawsvg.Line(COLUMNS[1] + 560, y - 4, COLUMNS[2] - 8, name, stroke=colour))
        text = f"{route.operation.action} {route.template} ({route.verdict.repeat})"
        picture.append(drawsvg.Text(text[:80], FONT, COLUMNS[1], y, fill=colour))
    for file, height_of in services.items():
        picture.append(drawsvg.Text(titles.get(file, file)[:30], FONT, COLUMNS[0], height_of + 4))
    for service_class, height_of in classes.items():
        picture.append(drawsvg.Text(service_class[:25], FONT, COLUMNS[2], height_of + 4))
    return picture


def _heights(routes: Sequence[Route], names: Sequence[str]) -> dict[str, float]:
    """Each name at the middle of its routes, kept a row apart."""
    rows: dict[str, list[int]] = {}
    for index, name in enumerate(names):
        rows.setdefault(name, []).append(index)
    found: dict[str, float] = {}
    last = 0.0
    for name, own in sorted(rows.items(), key=lambda one: sum(one[1]) / len(one[1])):
        y = max(3 * MARGIN + ROW * sum(own) / len(own) - 4, last + ROW)
        found[name] = last = y
    return found
