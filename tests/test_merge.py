"""Merging of documents and JSON merge patches."""

import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_model import merge

SCALARS = strategies.one_of(
    strategies.booleans(), strategies.integers(), strategies.text(max_size=3)
)
KEYS = strategies.sampled_from('abcd')
DOCUMENTS = strategies.dictionaries(
    KEYS,
    strategies.recursive(
        SCALARS,
        lambda inner: strategies.one_of(
            strategies.dictionaries(KEYS, inner, max_size=3),
            strategies.lists(inner, max_size=2),
        ),
        max_leaves=6,
    ),
    max_size=4,
)


class MergeTest(testtools.TestCase):
    """Guards against merges that lose keys absent from the overrides."""

    @hypothesis.given(DOCUMENTS, DOCUMENTS, DOCUMENTS)
    def test_merge_is_associative(self, first, second, third):
        left = merge.merge(merge.merge(first, second), third)
        right = merge.merge(first, merge.merge(second, third))
        self.assertEqual(left, right)

    @hypothesis.given(DOCUMENTS)
    def test_merge_is_idempotent(self, document):
        self.assertEqual(document, merge.merge(document, document))


class PatchTest(testtools.TestCase):
    """Guards against nodes whose document differs from the accepted one."""

    @hypothesis.given(DOCUMENTS, DOCUMENTS)
    def test_patch_turns_old_into_new(self, old, new):
        patch = merge.diff(old, new)
        patched = merge.apply_patch(old, patch)
        self.assertEqual(merge.digest(new), merge.digest(patched))
