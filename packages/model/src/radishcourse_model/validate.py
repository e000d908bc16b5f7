"""Validation of a document against the schema that lists every problem.

The schema's library stops at the first problem; operators want to see all
of them, so this module walks the library's description of the types.
"""

import re
import typing

from msgspec import inspect

from radishcourse_model import faults
from radishcourse_model import paths
from radishcourse_model import schema

Problems = typing.Iterator[faults.Problem]
Check = typing.Callable[[typing.Any, typing.Any, paths.Path], Problems]

_checks: dict[type, Check] = {}
_NAME = re.compile(schema.NAME_PATTERN)


def validate(document: object) -> list[faults.Problem]:
    """Returns all problems of a document, in the order of its keys."""
    return list(_check(document, _ROOT_TYPE, paths.ROOT))


def _check(value: object, kind, path: paths.Path) -> Problems:
    yield from _checks[type(kind)](value, kind, path)


def _checks_type(*kinds: type):
    def register(check: Check) -> Check:
        for kind in kinds:
            _checks[kind] = check
        return check

    return register


@_checks_type(inspect.StructType)
def _check_struct(value, kind, path) -> Problems:
    if not isinstance(value, dict):
        yield _wrong_type(value, 'an object', path)
        return
    fields = {field.encode_name: field for field in kind.fields}
    for key, item in value.items():
        if key not in fields:
            allowed = ', '.join(fields)
            message = f'the key is not known, allowed are {allowed}'
            yield faults.Problem(
                (*path, key), faults.FaultCode.UNKNOWN_KEY, message
            )
            continue
        yield from _check(item, fields[key].type, (*path, key))
    for name, field in fields.items():
        if field.required and name not in value:
            message = f'the key {name!r} is missing, it is required'
            yield faults.Problem(path, faults.FaultCode.MISSING_KEY, message)


@_checks_type(inspect.DictType)
def _check_dict(value, kind, path) -> Problems:
    if not isinstance(value, dict):
        yield _wrong_type(value, 'an object', path)
        return
    for key, item in value.items():
        below = (*path, key)
        if not _NAME.search(key):
            message = (
                'a name is 1 to 64 letters, digits, dots, dashes and'
                ' underscores, starting with a letter or digit'
            )
            yield faults.Problem(below, faults.FaultCode.BAD_FORMAT, message)
        yield from _check(item, kind.value_type, below)


@_checks_type(inspect.ListType)
def _check_list(value, kind, path) -> Problems:
    if not isinstance(value, list):
        yield _wrong_type(value, 'an array', path)
        return
    least, most = kind.min_length or 0, kind.max_length or len(value)
    if not least <= len(value) <= most:
        message = f'{len(value)} items, {least} to {most} are allowed'
        yield faults.Problem(path, faults.FaultCode.OUT_OF_RANGE, message)
    for index, item in enumerate(value):
        yield from _check(item, kind.item_type, (*path, index))


@_checks_type(inspect.StrType)
def _check_str(value, kind, path) -> Problems:
    if not isinstance(value, str):
        yield _wrong_type(value, 'a string', path)
        return
    least, most = kind.min_length or 0, kind.max_length or len(value)
    if not least <= len(value) <= most:
        message = f'{len(value)} characters, {least} to {most} are allowed'
        yield faults.Problem(path, faults.FaultCode.OUT_OF_RANGE, message)
    if kind.pattern and not re.search(kind.pattern, value):
        message = f'{value!a} does not match, allowed is {kind.pattern}'
        yield faults.Problem(path, faults.FaultCode.BAD_FORMAT, message)


@_checks_type(inspect.IntType, inspect.FloatType)
def _check_number(value, kind, path) -> Problems:
    whole = isinstance(kind, inspect.IntType)
    allowed = (int,) if whole else (int, float)
    if isinstance(value, bool) or not isinstance(value, allowed):
        yield _wrong_type(
            value, 'a whole number' if whole else 'a number', path
        )
        return
    below = (kind.ge is not None and value < kind.ge) or (
        kind.gt is not None and value <= kind.gt
    )
    if below or (kind.le is not None and value > kind.le):
        low = f'{kind.ge}' if kind.ge is not None else f'more than {kind.gt}'
        message = f'{value} is out of range, allowed is {low} to {kind.le}'
        yield faults.Problem(path, faults.FaultCode.OUT_OF_RANGE, message)


@_checks_type(inspect.BoolType)
def _check_bool(value, kind, path) -> Problems:
    del kind
    if not isinstance(value, bool):
        yield _wrong_type(value, 'true or false', path)


@_checks_type(inspect.EnumType)
def _check_enum(value, kind, path) -> Problems:
    yield from _check_choice(value, [item.value for item in kind.cls], path)


@_checks_type(inspect.LiteralType)
def _check_literal(value, kind, path) -> Problems:
    yield from _check_choice(value, kind.values, path)


def _check_choice(value, choices, path) -> Problems:
    if not isinstance(value, str):
        yield _wrong_type(value, 'a string', path)
    elif value not in choices:
        message = f'{value!a} is not known, allowed are {", ".join(choices)}'
        yield faults.Problem(path, faults.FaultCode.OUT_OF_RANGE, message)


def _wrong_type(value: object, wanted: str, path: paths.Path):
    message = f'{_name(value)} stands here, {wanted} is allowed'
    return faults.Problem(path, faults.FaultCode.WRONG_TYPE, message)


def _name(value: object) -> str:
    if isinstance(value, dict):
        return 'an object'
    if isinstance(value, list):
        return 'an array'
    if isinstance(value, str):
        return 'a string'
    if isinstance(value, bool):
        return 'a boolean'
    return 'a number'


_ROOT_TYPE = inspect.type_info(schema.Config)
