"""Faults found in a configuration, with the codes that are printed.

A problem belongs to a merged document; it becomes a fault once the file
that set the value is known.
"""

import dataclasses
import enum

from radishcourse_model import escaping
from radishcourse_model import paths


class FaultCode(enum.Enum):
    """Kinds of faults; the values are printed and must stay stable."""

    UNREADABLE = 'CFG001'
    BAD_UTF8 = 'CFG002'
    BAD_JSON = 'CFG003'
    DUPLICATE_KEY = 'CFG004'
    TOO_LARGE = 'CFG005'
    TOO_DEEP = 'CFG006'
    NOT_OBJECT = 'CFG007'
    NULL_VALUE = 'CFG008'
    UNKNOWN_KEY = 'CFG101'
    WRONG_TYPE = 'CFG102'
    OUT_OF_RANGE = 'CFG103'
    MISSING_KEY = 'CFG104'
    BAD_FORMAT = 'CFG105'
    UNKNOWN_REFERENCE = 'CFG201'
    CASCADE_NOT_ALLOWED = 'CFG202'
    SHARE_SUM = 'CFG203'
    SESSION_KEYS = 'CFG204'
    DUPLICATE_VALUE = 'CFG205'
    ROLLOUT_VERSIONS = 'CFG206'


@dataclasses.dataclass(frozen=True)
class Problem:
    """An invalid value in a document, not yet traced to a file.

    Attributes:
      path: Path of the value.
      code: Kind of fault.
      message: What is wrong and what is allowed.
    """

    path: paths.Path
    code: FaultCode
    message: str


@dataclasses.dataclass(frozen=True)
class Fault:
    """An invalid value in a configuration folder, with its file.

    Attributes:
      file: Name of the file that set the value, or `(folder)` when there
        is none.
      path: JSON path of the value, such as `$.models.small`.
      code: Kind of fault.
      message: What is wrong and what is allowed.
    """

    file: str
    path: str
    code: FaultCode
    message: str

    def __str__(self) -> str:
        text = f'{self.code.value} {self.file}:{self.path}: {self.message}'
        return escaping.escape(text)
