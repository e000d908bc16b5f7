"""What decoding of untrusted JSON may raise."""

import msgspec

# Text that is not UTF-8 and deeply nested values raise errors that are none of
# the decoder's own.
ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
