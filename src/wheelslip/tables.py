"""Plain-text tables for terminal output."""


def format_table(headings: tuple[str, ...], rows: list[tuple[object, ...]]) -> str:
    """Return a table with aligned columns and a line of headings."""
    cells = [headings, *[tuple(str(cell) for cell in row) for row in rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
    return "\n".join(lines)
