"""Formats tables as plain text for a terminal."""

from __future__ import annotations

from collections.abc import Sequence

COLUMN_GAP = "  "


def render_table(rows: Sequence[Sequence[str]]) -> str:
    """Return rows as lines with aligned columns. All rows have the same number of cells."""
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    return "".join(_render_row(row, widths) for row in rows)


def _render_row(row: Sequence[str], widths: list[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return COLUMN_GAP.join(cells).rstrip() + "\n"
