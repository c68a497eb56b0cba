"""Formats rows as an aligned text table."""


def format_table(titles, rows):
    """Return a table with titles; columns of numbers are aligned right.

    >>> print(format_table(("service", "slots"), [("status", 75)]))
    service  slots
    status      75
    """
    cells = [[str(title) for title in titles]]
    cells += [[_format_cell(value) for value in row] for row in rows]
    widths = [max(len(line[column]) for line in cells) for column in range(len(titles))]
    numeric = [
        all(isinstance(row[column], (int, float)) for row in rows)
        for column in range(len(titles))
    ]
    lines = []
    for line in cells:
        parts = [
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(line, widths, numeric, strict=True)
        ]
        lines.append("  ".join(parts).rstrip())
    return "\n".join(lines)


def _format_cell(value):
    if isinstance(value, float):
        return f"{value:.3g}"
    return str(value)
