"""Errors of the configuration model."""

import typing


class RadishcourseError(Exception):
    """Base of all errors that radishcourse raises.

    Attributes:
      code: Stable identifier of the kind of error, for programs.
    """

    code: typing.ClassVar[str] = 'internal'


class ConfigError(RadishcourseError):
    """A configuration could not be read or does not hold together."""

    code = 'config_invalid'


class PatchError(ConfigError):
    """A patch does not lead from the document at hand to its digest."""

    code = 'patch_mismatch'
