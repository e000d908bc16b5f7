"""Parsing of one configuration file, with the problems in its text."""

import json
import math
import typing

from radishcourse_model import faults
from radishcourse_model import merge
from radishcourse_model import paths

MAX_FILE_BYTES = 4 * 2**20
MAX_DEPTH = 32
MAX_FAULTS_IN_FILE = 100

Problems = typing.Iterator[faults.Problem]


class _Object(dict):
    """A JSON object that records keys that occur more than once."""

    duplicate_keys: tuple[str, ...] = ()


def parse(
    data: bytes,
) -> tuple[merge.Document | None, list[faults.Problem]]:
    """Returns the document in a file's bytes and its problems.

    The document is None when it can't be merged; duplicate keys alone do not
    prevent that. At most `MAX_FAULTS_IN_FILE` problems are returned.
    """
    if len(data) > MAX_FILE_BYTES:
        return None, [
            _root_problem(
                faults.FaultCode.TOO_LARGE,
                f'{len(data)} bytes, at most {MAX_FILE_BYTES} are allowed',
            )
        ]
    try:
        value = _load(data)
    except UnicodeDecodeError as error:
        message = f'invalid UTF-8 at byte {error.start}, UTF-8 is required'
        return None, [_root_problem(faults.FaultCode.BAD_UTF8, message)]
    except RecursionError:
        return None, [_too_deep(paths.ROOT)]
    except ValueError as error:
        message = f'{error}, a JSON object is required'
        return None, [_root_problem(faults.FaultCode.BAD_JSON, message)]
    if not isinstance(value, dict):
        message = f'{_type_name(value)}, a JSON object is required'
        return None, [_root_problem(faults.FaultCode.NOT_OBJECT, message)]
    problems = []
    for problem in _find_problems(value, paths.ROOT):
        problems.append(problem)
        if len(problems) == MAX_FAULTS_IN_FILE:
            break
    usable = all(
        problem.code is faults.FaultCode.DUPLICATE_KEY for problem in problems
    )
    return (value if usable else None), problems


def _load(data: bytes) -> object:
    return json.loads(
        data.decode('utf-8'),
        object_pairs_hook=_make_object,
        parse_constant=_reject_constant,
    )


def _make_object(pairs: list[tuple[str, object]]) -> _Object:
    result = _Object()
    duplicate_keys = []
    for key, value in pairs:
        if key in result:
            duplicate_keys.append(key)
        result[key] = value
    result.duplicate_keys = tuple(duplicate_keys)
    return result


def _reject_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is not a JSON number')


def _find_problems(value: object, path: paths.Path) -> Problems:
    if len(path) >= MAX_DEPTH:
        yield _too_deep(path)
    elif value is None:
        message = 'null is not allowed, omit the key instead'
        yield faults.Problem(path, faults.FaultCode.NULL_VALUE, message)
    elif isinstance(value, float) and not math.isfinite(value):
        message = 'the number is too large, at most 1e308 is allowed'
        yield faults.Problem(path, faults.FaultCode.OUT_OF_RANGE, message)
    elif isinstance(value, str):
        yield from _check_text(value, path)
    elif isinstance(value, _Object):
        yield from _find_object_problems(value, path)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _find_problems(item, (*path, index))


def _find_object_problems(value: _Object, path: paths.Path) -> Problems:
    for key in value.duplicate_keys:
        message = 'the key occurs twice in one object, only one is allowed'
        yield faults.Problem(
            (*path, key), faults.FaultCode.DUPLICATE_KEY, message
        )
    for key, item in value.items():
        item_path = (*path, key)
        yield from _check_text(key, item_path)
        yield from _find_problems(item, item_path)


def _check_text(text: str, path: paths.Path) -> Problems:
    if any('\ud800' <= character <= '\udfff' for character in text):
        message = 'unpaired surrogate, complete characters are required'
        yield faults.Problem(path, faults.FaultCode.BAD_UTF8, message)


def _too_deep(path: paths.Path) -> faults.Problem:
    message = f'nested too deep, at most {MAX_DEPTH} levels are allowed'
    return faults.Problem(path, faults.FaultCode.TOO_DEEP, message)


def _root_problem(code: faults.FaultCode, message: str) -> faults.Problem:
    return faults.Problem(paths.ROOT, code, message)


def _type_name(value: object) -> str:
    names = {list: 'an array', str: 'a string', bool: 'a boolean'}
    if value is None:
        return 'null'
    return names.get(type(value), 'a number')
