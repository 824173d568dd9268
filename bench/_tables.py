"""Tables of results."""

import attrs

__all__ = ["Table"]


@attrs.define
class Table:
    """
    A table with a title.

    :param title: says what was measured.
    :param columns: headings.
    :param rows: cells as text.
    """

    title: str
    columns: tuple[str, ...]
    rows: list[tuple[str, ...]] = attrs.field(factory=list)

    def add(self, *cells: object) -> None:
        """Add a row; floats are rounded to three significant digits."""
        self.rows.append(tuple(map(_cell, cells)))

    def to_markdown(self) -> str:
        """Return the table in Markdown."""
        lines = [f"### {self.title}", "", _line(self.columns)]
        lines.append(_line(["---"] * len(self.columns)))
        lines.extend(map(_line, self.rows))
        return "\n".join(lines) + "\n"

    def to_dict(self) -> dict[str, object]:
        """Return the table as a dictionary that can be written as JSON."""
        return {"title": self.title, "columns": self.columns, "rows": self.rows}


def _line(cells: tuple[str, ...] | list[str]) -> str:
    return f"| {' | '.join(cells)} |"


def _cell(value: object) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)
