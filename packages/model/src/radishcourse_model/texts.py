"""Texts that come from outside, made safe to show on a terminal."""

import re

_UNSAFE = re.compile(r'[^\x20-\x7e]')


def escape(text: str) -> str:
    """Returns a text as one line of printable ASCII characters.

    Other characters are shown as escapes, so that a value can't forge a
    line of its own or send orders to a terminal.
    """
    return _UNSAFE.sub(lambda match: ascii(match[0])[1:-1], text)
