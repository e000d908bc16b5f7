"""Faults that `radishcourse check` prints, one line each."""

import json
import pathlib
import re
import tempfile

import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_model import check
from radishcourse_model import folder as folders
from tests import operators

EXAMPLE = pathlib.Path(__file__).parent.parent / 'examples' / 'stroykrov'
LINE = re.compile(r'CFG\d{3} [^:]+:\$\S*: .+')


def write(folder: str, **files) -> pathlib.Path:
    path = pathlib.Path(folder)
    for name, content in files.items():
        data = content if isinstance(content, bytes) else json.dumps(content)
        data = data if isinstance(data, bytes) else data.encode()
        (path / f'{name}.json').write_bytes(data)
    return path


class FaultTest(testtools.TestCase):
    """Guards against faults that go unreported or cause a traceback."""

    def _lines(self, overrides, base=EXAMPLE) -> list[str]:
        with tempfile.TemporaryDirectory() as name:
            for file in base.glob('*.json'):
                (pathlib.Path(name) / file.name).write_bytes(file.read_bytes())
            write(name, **{'90-last': overrides})
            status, output = operators.run(['check', name])
        lines = output.splitlines()
        self.assertEqual(2 if lines else 0, status, output)
        for line in lines:
            self.assertThat(line, testtools.matchers.MatchesRegex(LINE.pattern))
        return lines

    def _assert_fault(self, code: str, path: str, overrides) -> None:
        lines = self._lines(overrides)
        expected_prefix = f'{code} 90-last.json:{path}: '
        found = [line for line in lines if line.startswith(expected_prefix)]
        self.assertEqual(1, len(found), lines)

    def test_example_is_valid(self):
        self.assertEqual([], self._lines({}))

    def test_unknown_key(self):
        path = '$.zones.sofia-a.stat'
        document = {'zones': {'sofia-a': {'stat': 'in'}}}
        self._assert_fault('CFG101', path, document)

    def test_duplicate_key_deep_in_a_file(self):
        text = b'{"zones": {"sofia-a": {"state": "in", "state": "out"}}}'
        self._assert_fault('CFG004', '$.zones.sofia-a.state', text)

    def test_out_of_range(self):
        path = '$.organisations.stroykrov.kinds.quote.quality_target'
        kinds = {'quote': {'quality_target': 1.5}}
        document = {'organisations': {'stroykrov': {'kinds': kinds}}}
        self._assert_fault('CFG103', path, document)

    def test_unknown_references(self):
        cases = {
            '$.cascades.quotes.steps[0]': {
                'cascades': {'quotes': {'steps': ['lost', 'quote-large']}}
            },
            '$.upstreams.assistant-1.zone': {
                'upstreams': {'assistant-1': {'zone': 'lost'}}
            },
            '$.organisations.stroykrov.allowed.quote-small[0]': {
                'organisations': {
                    'stroykrov': {'allowed': {'quote-small': ['lost']}}
                }
            },
            '$.services.order-desk.upstreams[0]': {
                'services': {'order-desk': {'upstreams': ['lost']}}
            },
            '$.organisations.stroykrov.kinds.quote.cascade': {
                'organisations': {
                    'stroykrov': {'kinds': {'quote': {'cascade': 'lost'}}}
                }
            },
        }
        for path, document in cases.items():
            self._assert_fault('CFG201', path, document)

    def test_cascade_with_no_allowed_step(self):
        allowed = {'quote-small': [], 'quote-large': []}
        document = {'organisations': {'stroykrov': {'allowed': allowed}}}
        codes = [line.split()[0] for line in self._lines(document)]
        self.assertEqual(['CFG202'] * 3, codes)

    def test_share_sum_other_than_100(self):
        versions = {'v2': {'share': 10}}
        document = {'models': {'quote-small': {'versions': versions}}}
        path = '$.models.quote-small.versions'
        self._assert_fault('CFG203', path, document)

    def test_invalid_json_text(self):
        cases = {
            'CFG002': b'{"zones": "\xff"}',
            'CFG003': b'{"zones": ',
            'CFG006': b'{"a":' * 40 + b'1' + b'}' * 40,
            'CFG007': b'[]',
            'CFG008': b'{"zones": null}',
        }
        for code, text in cases.items():
            lines = self._lines(text)
            self.assertEqual([code], [line[:6] for line in lines], lines)

    def test_very_deep_and_huge_files(self):
        deep = self._lines(b'[' * 200_000)
        self.assertEqual(['CFG006'], [line[:6] for line in deep])
        huge = self._lines(b' ' * (5 * 2**20))
        self.assertEqual(['CFG005'], [line[:6] for line in huge])

    def test_all_faults_are_shown(self):
        document = {
            'zones': {'sofia-a': {'state': 'gone'}},
            'cascades': {'quotes': {'steps': ['lost']}},
            'extra': 1,
        }
        codes = {line.split()[0] for line in self._lines(document)}
        self.assertTrue({'CFG101', 'CFG103', 'CFG201'} <= codes, codes)

    def test_missing_folder(self):
        status, output = operators.run(['check', 'no-such-folder'])
        self.assertEqual(2, status)
        self.assertThat(output, testtools.matchers.StartsWith('CFG001'))


class AnyDocumentTest(testtools.TestCase):
    """Guards against documents that make the check itself fail."""

    values = strategies.recursive(
        strategies.one_of(
            strategies.none(),
            strategies.booleans(),
            strategies.integers(),
            strategies.floats(allow_nan=False),
            strategies.text(max_size=4),
        ),
        lambda inner: strategies.one_of(
            strategies.lists(inner, max_size=3),
            strategies.dictionaries(
                strategies.sampled_from(
                    ['steps', 'versions', 'zones', 'a', 'share', 'serves']
                ),
                inner,
                max_size=3,
            ),
        ),
        max_leaves=8,
    )
    documents = strategies.dictionaries(
        strategies.sampled_from(
            [
                'organisations',
                'models',
                'cascades',
                'zones',
                'upstreams',
                'services',
                'rollouts',
                'session_keys',
                'other',
            ]
        ),
        values,
    )

    @hypothesis.given(documents)
    def test_document_without_faults_fits_the_schema(self, document):
        with tempfile.TemporaryDirectory() as name:
            path = write(name, document=document)
            checked = check.check(path)
            if not checked.faults:
                folders.decode(checked.document)
            else:
                self.assertTrue(all(str(fault) for fault in checked.faults))


class ShownTextTest(testtools.TestCase):
    """Guards against values that reach the terminal without escaping.

    Such a value could forge an output line or send control sequences.
    """

    unsafe_texts = strategies.sampled_from(
        ['a\nCFG999 f.json:$: forged', '\x1b[31mred', '\x9b1m', '\u202eright']
    )

    def _check(self, document) -> None:
        with tempfile.TemporaryDirectory() as name:
            path = write(name, document=document)
            found = check.check(path).faults
            status, output = operators.run(['check', name])
        lines = output.splitlines()
        self.assertEqual(len(found), len(lines))
        self.assertEqual(2 if found else 0, status)
        for line in lines:
            self.assertTrue(line.isascii() and line.isprintable(), line)
            self.assertThat(
                line,
                testtools.matchers.MatchesRegex(r'CFG\d{3} document.json:\$'),
            )

    def test_duplicate_step_with_a_line_break(self):
        step = 'small\nCFG999 f.json:$: forged\x1b[2J'
        self._check({'cascades': {'c': {'steps': [step, step]}}})

    @hypothesis.given(
        unsafe_texts,
        unsafe_texts,
        strategies.sampled_from(
            [
                lambda a, b: {a: b},
                lambda a, b: {'zones': {a: {'state': b}}},
                lambda a, b: {'models': {a: {'versions': {b: {}}}}},
                lambda a, b: {'cascades': {a: {'steps': [b, b]}}},
                lambda a, b: {'organisations': {a: {'keys': [b, b]}}},
                lambda a, b: {'organisations': {'o': {'keys': [], a: b}}},
                lambda a, b: {
                    'organisations': {
                        a: {'keys': [], 'kinds': {b: {'cascade': a}}},
                        b: {'keys': [], 'allowed': {a: [b]}},
                    }
                },
                lambda a, b: {'upstreams': {a: {'address': b, 'zone': a}}},
                lambda a, b: {'services': {a: {'upstreams': [b, a]}}},
                lambda a, b: {
                    'rollouts': {
                        a: {'model': b, 'from_version': a, 'to_version': a}
                    }
                },
                lambda a, b: {'session_keys': {a: {'secret': b}}},
            ]
        ),
    )
    def test_names_and_values_of_all_sections(self, name, value, make):
        self._check(make(name, value))
