"""Checks a configuration folder and lists all its faults."""

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
      document: The merged document.
      config: The typed configuration, or None when there are faults.
      faults: All faults: those of files, of the schema, of the rules.
    """

    document: merge.Document
    config: schema.Config | None
    faults: list[faults.Fault]


def check(path: pathlib.Path) -> CheckResult:
    """Reads and checks a folder; faults are returned, not raised."""
    folder = folders.read(path)
    problems = check_document(folder.document)
    found = folder.faults + [folder.locate(item) for item in problems]
    if found:
        return CheckResult(folder.document, None, found)
    return CheckResult(folder.document, folders.decode(folder.document), [])


def check_document(document: merge.Document) -> list[faults.Problem]:
    """Returns the problems of a merged document."""
    problems = validate.validate(document)
    faulty = frozenset(problem.path for problem in problems)
    sound = _without_faults(document, problems)
    try:
        config = folders.decode(sound)
    except msgspec.ValidationError:
        return problems
    subject = rules.Subject(config, document, faulty)
    return problems + rules.find_problems(subject)


def _without_faults(document, problems: list[faults.Problem]):
    """Returns a copy of a document without its faulty parts.

    Where a required part is taken out, the whole that needs it goes too.
    """
    while problems:
        for problem in problems:
            document = _without(document, problem.path)
        problems = validate.validate(document)
    return document


def _without(value, path: paths.Path):
    if not path or not isinstance(value, (dict, list)):
        return {}
    first, rest = path[0], path[1:]
    if isinstance(value, list):
        # Taking out an item would move the items after it.
        return value if not rest and first >= len(value) else []
    if first not in value:
        return value
    copy = dict(value)
    if rest and isinstance(copy[first], (dict, list)):
        copy[first] = _without(copy[first], rest)
    else:
        del copy[first]
    return copy
