"""Checks a configuration folder and lists all its faults."""

import dataclasses
import pathlib

import msgspec

from radishcourse_model import faults
from radishcourse_model import folder
from radishcourse_model import merge
from radishcourse_model import schema


@dataclasses.dataclass(frozen=True)
class Checked:
    """Result of a check.

    Attributes:
      document: The merged document.
      config: The typed configuration, or None when there are faults.
      faults: All faults, in order of file and path.
    """

    document: merge.Document
    config: schema.Config | None
    faults: list[faults.Fault]


def check(path: pathlib.Path) -> Checked:
    """Reads and checks a folder; faults are returned, not raised."""
    read = folder.read(path)
    if read.faults:
        return Checked(read.document, None, sorted(read.faults))
    try:
        config = folder.decode(read.document)
    except msgspec.ValidationError as error:
        fault = faults.Fault(
            '(folder)', '$', faults.FaultCode.WRONG_TYPE, str(error)
        )
        return Checked(read.document, None, [fault])
    return Checked(read.document, config, [])
