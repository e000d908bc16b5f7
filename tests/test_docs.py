"""Guards against documentation that lacks events or error codes."""

import pathlib
import re

import testtools

from radishcourse_model import faults
from radishcourse_node import events

DOCS = pathlib.Path(__file__).parent.parent / 'docs'


class CatalogueTest(testtools.TestCase):
    """Guards against events and codes that operators can't look up."""

    def test_catalogue_has_exactly_the_events(self):
        text = (DOCS / 'EVENTS.md').read_text()
        listed = re.findall(r'^\| (\d+) \| (\w+) \|', text, re.MULTILINE)
        known = [
            (str(event.value), event.name.lower()) for event in events.Event
        ]
        self.assertEqual(sorted(known), sorted(listed))

    def test_operators_page_has_every_fault_code(self):
        text = (DOCS / 'OPERATORS.md').read_text()
        for code in faults.FaultCode:
            self.assertIn(code.value, text)
