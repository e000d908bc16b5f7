"""Parsing of one configuration file, with the faults of its text."""

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
    """A JSON object that remembers keys that stood more than once."""

    repeated: tuple[str, ...] = ()


def parse(
    data: bytes,
) -> tuple[merge.Document | None, list[faults.Problem]]:
    """Returns the document in a file's bytes and what is wrong with it.

    The document is None when the file can't take part in the merge.
    """
    if len(data) > MAX_FILE_BYTES:
        return None, [
            _problem(
                faults.FaultCode.TOO_LARGE,
                f'{len(data)} bytes, at most {MAX_FILE_BYTES} are allowed',
            )
        ]
    try:
        value = _load(data)
    except UnicodeDecodeError as error:
        message = f'no UTF-8 at byte {error.start}, UTF-8 is required'
        return None, [_problem(faults.FaultCode.BAD_UTF8, message)]
    except RecursionError:
        return None, [_too_deep(paths.ROOT)]
    except ValueError as error:
        message = f'{error}, a JSON object is required'
        return None, [_problem(faults.FaultCode.BAD_JSON, message)]
    if not isinstance(value, dict):
        message = f'{_name(value)}, a JSON object is required'
        return None, [_problem(faults.FaultCode.NOT_OBJECT, message)]
    problems = []
    for problem in _walk(value, paths.ROOT):
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
        object_pairs_hook=_collect,
        parse_constant=_reject_constant,
    )


def _collect(pairs: list[tuple[str, object]]) -> _Object:
    result = _Object()
    repeated = []
    for key, value in pairs:
        if key in result:
            repeated.append(key)
        result[key] = value
    result.repeated = tuple(repeated)
    return result


def _reject_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is no JSON number')


def _walk(value: object, path: paths.Path) -> Problems:
    if len(path) >= MAX_DEPTH:
        yield _too_deep(path)
    elif value is None:
        message = 'null is not allowed, leave the key out'
        yield faults.Problem(path, faults.FaultCode.NULL_VALUE, message)
    elif isinstance(value, float) and not math.isfinite(value):
        message = 'the number is too large, at most 1e308 is allowed'
        yield faults.Problem(path, faults.FaultCode.OUT_OF_RANGE, message)
    elif isinstance(value, str):
        yield from _check_text(value, path)
    elif isinstance(value, _Object):
        yield from _walk_object(value, path)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _walk(item, (*path, index))


def _walk_object(value: _Object, path: paths.Path) -> Problems:
    for key in value.repeated:
        message = 'the key stands twice in one object, once is allowed'
        yield faults.Problem(
            (*path, key), faults.FaultCode.DUPLICATE_KEY, message
        )
    for key, item in value.items():
        below = (*path, key)
        yield from _check_text(key, below)
        yield from _walk(item, below)


def _check_text(text: str, path: paths.Path) -> Problems:
    if any('\ud800' <= character <= '\udfff' for character in text):
        message = 'half of a surrogate pair, whole characters are required'
        yield faults.Problem(path, faults.FaultCode.BAD_UTF8, message)


def _too_deep(path: paths.Path) -> faults.Problem:
    message = f'nested too deep, at most {MAX_DEPTH} levels are allowed'
    return faults.Problem(path, faults.FaultCode.TOO_DEEP, message)


def _problem(code: faults.FaultCode, message: str) -> faults.Problem:
    return faults.Problem(paths.ROOT, code, message)


def _name(value: object) -> str:
    names = {list: 'an array', str: 'a string', bool: 'a boolean'}
    if value is None:
        return 'null'
    return names.get(type(value), 'a number')
