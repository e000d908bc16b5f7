"""JSON paths as tuples of keys and indexes."""

import re

Path = tuple[str | int, ...]

ROOT: Path = ()
_PLAIN = re.compile(r'[A-Za-z0-9_-]+')


def render(path: Path) -> str:
    """Returns a path as text, such as `$.models.small["v1.2"]`."""
    return '$' + ''.join(_render_part(part) for part in path)


def _render_part(part: str | int) -> str:
    if isinstance(part, int):
        return f'[{part}]'
    if _PLAIN.fullmatch(part):
        return f'.{part}'
    return '[' + ascii(part).replace("'", '"') + ']'
