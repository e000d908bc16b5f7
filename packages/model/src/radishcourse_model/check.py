"""Checking of a configuration folder, which reports all its faults."""

import dataclasses
import pathlib

import msgspec

from radishcourse_model import faults
from radishcourse_model import folder as folders
from radishcourse_model import merge
from radishcourse_model import paths
from radishcourse_model import rules
from radishcourse_model import schema
from radishcourse_model import validate


@dataclasses.dataclass(frozen=True)
class CheckResult:
    """Result of a check.

    Attributes:
      document: Merged document.
      config: Typed configuration, or None when there are faults.
      faults: All faults: in the files, against the schema and against the
        rules.
    """

    document: merge.Document
    config: schema.Config | None
    faults: list[faults.Fault]


def check(path: pathlib.Path) -> CheckResult:
    """Reads and checks a folder; returns faults instead of raising."""
    folder = folders.read(path)
    problems = check_document(folder.document)
    found = folder.faults + [folder.locate(item) for item in problems]
    if found:
        return CheckResult(folder.document, None, found)
    return CheckResult(folder.document, folders.decode(folder.document), [])


def check_document(document: merge.Document) -> list[faults.Problem]:
    """Returns the problems of a merged document.

    The rules run on the part that fits the schema, so that one schema fault
    does not hide the faults that the rules find.
    """
    problems = validate.validate(document)
    faulty = frozenset(problem.path for problem in problems)
    valid_part = _drop_faulty(document, problems)
    try:
        config = folders.decode(valid_part)
    except msgspec.ValidationError:
        return problems
    subject = rules.Subject(config, document, faulty)
    return problems + rules.find_problems(subject)


def _drop_faulty(document, problems: list[faults.Problem]):
    """Returns a copy of a document without its faulty parts.

    Removing a required key makes the enclosing object faulty, so validation
    and removal repeat until nothing is faulty.
    """
    while problems:
        for problem in problems:
            document = _drop(document, problem.path)
        problems = validate.validate(document)
    return document


def _drop(value, path: paths.Path):
    if not path or not isinstance(value, (dict, list)):
        return {}
    first, rest = path[0], path[1:]
    if isinstance(value, list):
        # Removing one item would shift the indexes of the later ones, so the
        # whole list is emptied.
        return value if not rest and first >= len(value) else []
    if first not in value:
        return value
    copy = dict(value)
    if rest and isinstance(copy[first], (dict, list)):
        copy[first] = _drop(copy[first], rest)
    else:
        del copy[first]
    return copy
