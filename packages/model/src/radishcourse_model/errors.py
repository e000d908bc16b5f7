"""Errors of the configuration model."""

import typing


class RadishcourseError(Exception):
    """Base class of all errors that radishcourse raises.

    Attributes:
      code: Stable machine-readable identifier of the kind of error.
    """

    code: typing.ClassVar[str] = 'internal'


class ConfigError(RadishcourseError):
    """A configuration could not be read or is invalid."""

    code = 'config_invalid'


class PatchError(ConfigError):
    """A patched document does not have the digest given with the patch."""

    code = 'patch_mismatch'
