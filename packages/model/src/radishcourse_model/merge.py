"""Merging of configuration documents and JSON merge patches.

A document is a JSON object. `merge` is a deep merge: objects are merged key
by key, all other values are replaced. `diff` and `apply_patch` follow RFC
7386 (JSON Merge Patch); documents never contain `null`, so a patch can
express every difference between two documents.
"""

import hashlib

import msgspec

from radishcourse_model import errors

Document = dict[str, object]


def merge(base: Document, overrides: Document) -> Document:
    """Returns `base` merged with `overrides`; neither is modified."""
    merged = dict(base)
    for key, value in overrides.items():
        current = merged.get(key)
        if isinstance(current, dict) and isinstance(value, dict):
            merged[key] = merge(current, value)
        else:
            merged[key] = value
    return merged


def diff(old: Document, new: Document) -> Document:
    """Returns the JSON merge patch that turns `old` into `new`."""
    patch: Document = {key: None for key in old if key not in new}
    for key, value in new.items():
        if key not in old:
            patch[key] = value
            continue
        current = old[key]
        if isinstance(current, dict) and isinstance(value, dict):
            nested = diff(current, value)
            if nested:
                patch[key] = nested
        elif not _json_equal(current, value):
            patch[key] = value
    return patch


def apply_patch(document: Document, patch: Document) -> Document:
    """Returns `document` after a JSON merge patch; neither is modified."""
    result = dict(document)
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        elif isinstance(value, dict):
            current = result.get(key)
            base = current if isinstance(current, dict) else {}
            result[key] = apply_patch(base, value)
        else:
            result[key] = value
    return result


def digest(document: Document) -> str:
    """Returns the SHA-256 of the canonical JSON of `document`, in hex."""
    canonical = msgspec.json.encode(document, order='sorted')
    return hashlib.sha256(canonical).hexdigest()


def apply_verified(document: Document, patch: Document, expected_digest: str):
    """Returns `document` after `patch`, verified against a digest.

    Args:
      document: Document before the change.
      patch: JSON merge patch.
      expected_digest: SHA-256 that the result must have, in hex.

    Raises:
      PatchError: The result has another digest, so the patch was made for
        another document.
    """
    result = apply_patch(document, patch)
    if digest(result) != expected_digest:
        raise errors.PatchError(
            'digest mismatch after the patch: it was made for another document'
        )
    return result


def _json_equal(left: object, right: object) -> bool:
    # 1 == True and 1 == 1.0 in Python, but they are different JSON values.
    return type(left) is type(right) and left == right
