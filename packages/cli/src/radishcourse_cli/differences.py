"""Differences between two documents, as readable lines."""

import typing

import msgspec

from radishcourse_model import escaping
from radishcourse_model import merge
from radishcourse_model import paths

# Values of these keys are secrets and are not shown.
HIDDEN_KEYS = frozenset({'secret', 'keys'})
HIDDEN = '(hidden)'


class Difference(typing.NamedTuple):
    """A value that is added, removed or changed.

    Attributes:
      path: Path of the value in the document.
      old: The old value; `_ABSENT` for an added one.
      new: The new value; `_ABSENT` for a removed one.
    """

    path: paths.Path
    old: object
    new: object

    def __str__(self) -> str:
        location = paths.render(self.path)
        if self.old is _ABSENT:
            return f'+ {location} {_show(self.path, self.new)}'
        if self.new is _ABSENT:
            return f'- {location} {_show(self.path, self.old)}'
        old, new = _show(self.path, self.old), _show(self.path, self.new)
        return f'~ {location} {old} -> {new}'


_ABSENT = object()


def compare(
    old: merge.Document, new: merge.Document
) -> typing.Iterator[Difference]:
    """Yields the differences between two documents, in order of keys."""
    yield from _compare_objects(old, new, paths.ROOT)


def hide_secrets(value: object, path: paths.Path = paths.ROOT) -> object:
    """Returns a copy of a value with its secrets replaced by `HIDDEN`."""
    if path and path[-1] in HIDDEN_KEYS:
        return HIDDEN
    if isinstance(value, dict):
        return {
            key: hide_secrets(item, (*path, key)) for key, item in value.items()
        }
    return value


def _compare_objects(old, new, path: paths.Path):
    for key in sorted({*old, *new}):
        key_path = (*path, key)
        before, after = old.get(key, _ABSENT), new.get(key, _ABSENT)
        if isinstance(before, dict) and isinstance(after, dict):
            yield from _compare_objects(before, after, key_path)
        elif before is _ABSENT or after is _ABSENT or before != after:
            yield Difference(key_path, before, after)


def _show(path: paths.Path, value: object) -> str:
    shown = msgspec.json.encode(hide_secrets(value, path)).decode()
    return escaping.escape(shown)
