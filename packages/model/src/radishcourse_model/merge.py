"""Merging of configuration documents and JSON merge patches.

A document is a JSON object. `merge` refines one document by another:
objects are merged key by key, everything else is replaced. `diff` and
`apply_patch` follow RFC 7386 (JSON Merge Patch); `null` never stands in a
document, so a patch can express every difference between two documents.
"""

import hashlib

import msgspec

from radishcourse_model import errors

Document = dict[str, object]


def merge(base: Document, refinement: Document) -> Document:
    """Returns `base` refined by `refinement`; neither is changed."""
    merged = dict(base)
    for key, value in refinement.items():
        current = merged.get(key)
        if isinstance(current, dict) and isinstance(value, dict):
            merged[key] = merge(current, value)
        else:
            merged[key] = value
    return merged


def diff(old: Document, new: Document) -> Document:
    """Returns the JSON merge patch that leads from `old` to `new`."""
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
        elif not _same(current, value):
            patch[key] = value
    return patch


def apply_patch(document: Document, patch: Document) -> Document:
    """Returns `document` after a JSON merge patch; neither is changed."""
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


def apply_verified(document: Document, patch: Document, wanted: str):
    """Returns `document` after `patch`, checked against a digest.

    Args:
      document: The document before the change.
      patch: A JSON merge patch.
      wanted: The digest that the result must have.

    Raises:
      PatchError: The result has another digest, so the patch belongs to
        another document.
    """
    result = apply_patch(document, patch)
    if digest(result) != wanted:
        raise errors.PatchError('the patch does not lead to its digest')
    return result


def _same(left: object, right: object) -> bool:
    # 1 == True and 1 == 1.0 in Python, but they are different JSON values.
    return type(left) is type(right) and left == right
