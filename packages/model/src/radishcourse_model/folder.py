"""Reading and merging of the files of a configuration folder."""

import pathlib

import msgspec

from radishcourse_model import faults
from radishcourse_model import merge
from radishcourse_model import parse
from radishcourse_model import paths
from radishcourse_model import schema

SUFFIX = '.json'
_NO_FILE = '(folder)'


class Folder:
    """The merged files of a configuration folder.

    Attributes:
      document: Merged document.
      faults: Faults in the text of single files.
      origins: Name of the last file that set a value, by JSON path.
    """

    def __init__(self):
        self.document: merge.Document = {}
        self.faults: list[faults.Fault] = []
        self.origins: dict[paths.Path, str] = {}

    def locate(self, problem: faults.Problem) -> faults.Fault:
        """Returns a problem as a fault of the file that set its value.

        Array items have no file of their own, so the file of the nearest
        enclosing value is named.
        """
        path = problem.path
        while path and path not in self.origins:
            path = path[:-1]
        return faults.Fault(
            self.origins.get(path, _NO_FILE),
            paths.render(problem.path),
            problem.code,
            problem.message,
        )

    def add_document(self, name: str, document: merge.Document) -> None:
        """Merges the document of one file over the earlier files."""
        self.document = merge.merge(self.document, document)
        self._record_origins(document, paths.ROOT, name)

    def add_problem(self, name: str, problem: faults.Problem) -> None:
        """Adds a problem in the text of one file to the faults."""
        path = paths.render(problem.path)
        self.faults.append(
            faults.Fault(name, path, problem.code, problem.message)
        )

    def _record_origins(self, value, path: paths.Path, name: str) -> None:
        self.origins[path] = name
        if isinstance(value, dict):
            for key, item in value.items():
                self._record_origins(item, (*path, key), name)


def read(path: pathlib.Path) -> Folder:
    """Reads and merges the `*.json` files of a folder in name order.

    Later files override earlier ones. Names are compared by Unicode code
    point; other files and names that start with a dot are ignored.
    """
    folder = Folder()
    try:
        files = sorted(
            (item for item in path.iterdir() if _is_config(item)),
            key=lambda item: item.name,
        )
    except OSError as error:
        folder.add_problem(path.name, _unreadable(error))
        return folder
    for file in files:
        _read_file(file, folder)
    return folder


def decode(document: merge.Document) -> schema.Config:
    """Returns the typed configuration of a merged document.

    Raises:
      msgspec.ValidationError: The document does not fit the schema.
    """
    return msgspec.convert(document, schema.Config)


def _is_config(file: pathlib.Path) -> bool:
    return file.suffix == SUFFIX and not file.name.startswith('.')


def _read_file(file: pathlib.Path, folder: Folder) -> None:
    try:
        with file.open('rb') as stream:
            data = stream.read(parse.MAX_FILE_BYTES + 1)
    except OSError as error:
        folder.add_problem(file.name, _unreadable(error))
        return
    document, problems = parse.parse(data)
    for problem in problems:
        folder.add_problem(file.name, problem)
    if document is not None:
        folder.add_document(file.name, document)


def _unreadable(error: OSError) -> faults.Problem:
    message = f'{error.strerror}, a readable file is required'
    return faults.Problem(paths.ROOT, faults.FaultCode.UNREADABLE, message)
