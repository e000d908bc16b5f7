"""Validation of a document against the schema, reporting every problem.

msgspec stops at the first problem; operators want to see all of them, so
this module walks the type descriptions of `msgspec.inspect`.
"""

import re
import typing

from msgspec import inspect

from radishcourse_model import faults
from radishcourse_model import paths
from radishcourse_model import schema

Problems = typing.Iterator[faults.Problem]
Checker = typing.Callable[[typing.Any, typing.Any, paths.Path], Problems]

_checkers: dict[type, Checker] = {}
_NAME = re.compile(schema.NAME_PATTERN)


def validate(document: object) -> list[faults.Problem]:
    """Returns all problems of a document, in the order of its keys."""
    return list(_check(document, _ROOT_TYPE, paths.ROOT))


def _check(value: object, spec, path: paths.Path) -> Problems:
    yield from _checkers[type(spec)](value, spec, path)


def _checker_of(*spec_types: type):
    def register(checker: Checker) -> Checker:
        for spec_type in spec_types:
            _checkers[spec_type] = checker
        return checker

    return register


@_checker_of(inspect.StructType)
def _check_struct(value, spec, path) -> Problems:
    if not isinstance(value, dict):
        yield _wrong_type(value, 'an object', path)
        return
    fields = {field.encode_name: field for field in spec.fields}
    for key, item in value.items():
        if key not in fields:
            allowed = ', '.join(fields)
            message = f'unknown key, allowed are {allowed}'
            yield faults.Problem(
                (*path, key), faults.FaultCode.UNKNOWN_KEY, message
            )
            continue
        yield from _check(item, fields[key].type, (*path, key))
    for name, field in fields.items():
        if field.required and name not in value:
            message = f'the key {name!r} is missing, it is required'
            yield faults.Problem(path, faults.FaultCode.MISSING_KEY, message)


@_checker_of(inspect.DictType)
def _check_dict(value, spec, path) -> Problems:
    if not isinstance(value, dict):
        yield _wrong_type(value, 'an object', path)
        return
    for key, item in value.items():
        item_path = (*path, key)
        if not _NAME.search(key):
            message = (
                'a name is 1 to 64 letters, digits, dots, dashes and'
                ' underscores, starting with a letter or digit'
            )
            yield faults.Problem(
                item_path, faults.FaultCode.BAD_FORMAT, message
            )
        yield from _check(item, spec.value_type, item_path)


@_checker_of(inspect.ListType)
def _check_list(value, spec, path) -> Problems:
    if not isinstance(value, list):
        yield _wrong_type(value, 'an array', path)
        return
    minimum, maximum = spec.min_length or 0, spec.max_length or len(value)
    if not minimum <= len(value) <= maximum:
        message = f'{len(value)} items, {minimum} to {maximum} are allowed'
        yield faults.Problem(path, faults.FaultCode.OUT_OF_RANGE, message)
    for index, item in enumerate(value):
        yield from _check(item, spec.item_type, (*path, index))


@_checker_of(inspect.StrType)
def _check_str(value, spec, path) -> Problems:
    if not isinstance(value, str):
        yield _wrong_type(value, 'a string', path)
        return
    minimum, maximum = spec.min_length or 0, spec.max_length or len(value)
    if not minimum <= len(value) <= maximum:
        message = f'{len(value)} characters, {minimum} to {maximum} are allowed'
        yield faults.Problem(path, faults.FaultCode.OUT_OF_RANGE, message)
    if spec.pattern and not re.search(spec.pattern, value):
        message = f'{value!a} does not match, allowed is {spec.pattern}'
        yield faults.Problem(path, faults.FaultCode.BAD_FORMAT, message)


@_checker_of(inspect.IntType, inspect.FloatType)
def _check_number(value, spec, path) -> Problems:
    is_integer = isinstance(spec, inspect.IntType)
    allowed = (int,) if is_integer else (int, float)
    if isinstance(value, bool) or not isinstance(value, allowed):
        yield _wrong_type(
            value, 'a whole number' if is_integer else 'a number', path
        )
        return
    too_low = (spec.ge is not None and value < spec.ge) or (
        spec.gt is not None and value <= spec.gt
    )
    if too_low or (spec.le is not None and value > spec.le):
        lowest = f'{spec.ge}' if spec.ge is not None else f'more than {spec.gt}'
        message = f'{value} is out of range, allowed is {lowest} to {spec.le}'
        yield faults.Problem(path, faults.FaultCode.OUT_OF_RANGE, message)


@_checker_of(inspect.BoolType)
def _check_bool(value, spec, path) -> Problems:
    del spec
    if not isinstance(value, bool):
        yield _wrong_type(value, 'true or false', path)


@_checker_of(inspect.EnumType)
def _check_enum(value, spec, path) -> Problems:
    yield from _check_choice(value, [item.value for item in spec.cls], path)


@_checker_of(inspect.LiteralType)
def _check_literal(value, spec, path) -> Problems:
    yield from _check_choice(value, spec.values, path)


def _check_choice(value, choices, path) -> Problems:
    if not isinstance(value, str):
        yield _wrong_type(value, 'a string', path)
    elif value not in choices:
        message = f'{value!a} is not known, allowed are {", ".join(choices)}'
        yield faults.Problem(path, faults.FaultCode.OUT_OF_RANGE, message)


def _wrong_type(value: object, expected: str, path: paths.Path):
    message = f'{_type_name(value)} is not allowed here, {expected} is required'
    return faults.Problem(path, faults.FaultCode.WRONG_TYPE, message)


def _type_name(value: object) -> str:
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
