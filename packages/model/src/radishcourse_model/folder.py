"""Reading of a configuration folder."""

import dataclasses
import json
import pathlib

import msgspec

from radishcourse_model import faults
from radishcourse_model import merge
from radishcourse_model import schema

MAX_FILE_BYTES = 4 * 2**20
MAX_DEPTH = 32


@dataclasses.dataclass
class Folder:
    """A folder of configuration files, merged.

    Attributes:
      document: The merged document.
      origins: For each JSON path, the file that set its value last.
      faults: What is wrong with the files themselves.
    """

    document: merge.Document
    origins: dict[str, str]
    faults: list[faults.Fault]

    def origin(self, path: str) -> str:
        """Returns the file that set `path`, or the nearest path above it."""
        while path not in self.origins and '.' in path:
            path = path.rpartition('.')[0]
        return self.origins.get(path, '(folder)')


def read(folder: pathlib.Path) -> Folder:
    """Reads and merges the `*.json` files of a folder in name order."""
    result = Folder(document={}, origins={}, faults=[])
    try:
        paths = sorted(folder.iterdir(), key=lambda path: path.name)
    except OSError as error:
        _add(result, str(folder), faults.FaultCode.UNREADABLE, str(error))
        return result
    for path in paths:
        if path.suffix != '.json':
            continue
        document = _read_file(path, result)
        if document is not None:
            result.document = merge.merge(result.document, document)
            _note_origins(document, '$', path.name, result.origins)
    return result


def decode(document: merge.Document) -> schema.Config:
    """Returns the typed configuration of a merged document.

    Raises:
      msgspec.ValidationError: The document does not fit the schema.
    """
    return msgspec.convert(document, schema.Config)


def _read_file(path: pathlib.Path, result: Folder) -> merge.Document | None:
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            message = f'the file is too large, at most {MAX_FILE_BYTES} bytes'
            _add(result, path.name, faults.FaultCode.TOO_LARGE, message)
            return None
        text = path.read_bytes().decode('utf-8')
    except OSError as error:
        _add(result, path.name, faults.FaultCode.UNREADABLE, str(error))
        return None
    except UnicodeDecodeError as error:
        message = f'not UTF-8 at byte {error.start}, UTF-8 is required'
        _add(result, path.name, faults.FaultCode.BAD_UTF8, message)
        return None
    return _parse(text, path.name, result)


def _parse(text: str, name: str, result: Folder) -> merge.Document | None:
    repeated: list[str] = []

    def collect(pairs):
        seen = {}
        for key, value in pairs:
            if key in seen:
                repeated.append(key)
            seen[key] = value
        return seen

    try:
        document = json.loads(text, object_pairs_hook=collect)
    except RecursionError:
        message = f'nested too deep, at most {MAX_DEPTH} levels'
        _add(result, name, faults.FaultCode.TOO_DEEP, message)
        return None
    except ValueError as error:
        _add(result, name, faults.FaultCode.BAD_JSON, f'{error}')
        return None
    for key in repeated:
        message = f'key {key!r} stands twice in one object, once is allowed'
        _add(result, name, faults.FaultCode.DUPLICATE_KEY, message)
    if not isinstance(document, dict):
        message = 'the file holds no JSON object, one is required'
        _add(result, name, faults.FaultCode.NOT_OBJECT, message)
        return None
    if not _check_values(document, '$', 1, name, result):
        return None
    return document


def _check_values(value, path, depth, name, result) -> bool:
    if depth > MAX_DEPTH:
        message = f'nested too deep, at most {MAX_DEPTH} levels'
        _add(result, name, faults.FaultCode.TOO_DEEP, message, path)
        return False
    if value is None:
        message = 'null is not allowed, leave the key out'
        _add(result, name, faults.FaultCode.NULL_VALUE, message, path)
        return False
    if isinstance(value, dict):
        items = [(f'{path}.{key}', item) for key, item in value.items()]
    elif isinstance(value, list):
        items = [(f'{path}[{index}]', item) for index, item in enumerate(value)]
    else:
        return True
    checks = [
        _check_values(item, below, depth + 1, name, result)
        for below, item in items
    ]
    return all(checks)


def _note_origins(value, path, name, origins) -> None:
    origins[path] = name
    if isinstance(value, dict):
        for key, item in value.items():
            _note_origins(item, f'{path}.{key}', name, origins)


def _add(result, file, code, message, path='$') -> None:
    result.faults.append(faults.Fault(file, path, code, message))
