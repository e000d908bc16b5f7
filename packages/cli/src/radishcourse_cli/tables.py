"""Plain-text tables."""

import typing

from radishcourse_model import escaping

GAP = '  '


def render(
    header: typing.Sequence[str], rows: typing.Iterable[typing.Sequence]
) -> str:
    """Returns a table whose columns are as wide as their widest cell."""
    shown = ([escaping.escape(str(cell)) for cell in row] for row in rows)
    lines = [header, *shown]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return ''.join(
        GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        + '\n'
        for line in lines
    )
