"""Escaping of untrusted text for display on a terminal."""

import re

_UNSAFE = re.compile(r'[^\x20-\x7e]')


def escape(text: str) -> str:
    """Returns a text as one line of printable ASCII characters.

    Other characters are shown as escapes, so that a value can't forge an
    output line or send control sequences to the terminal.
    """
    return _UNSAFE.sub(lambda match: ascii(match[0])[1:-1], text)
