"""Plain tables."""

import typing

GAP = '  '


def render(
    header: typing.Sequence[str], rows: typing.Iterable[typing.Sequence]
) -> str:
    """Returns a table with columns as wide as their widest cell."""
    lines = [header, *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return ''.join(
        GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        + '\n'
        for line in lines
    )
