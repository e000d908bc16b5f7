"""What a node believes of upstreams, from rows alone."""

import json

import testtools

from radishcourse_adapter import manifest
from radishcourse_gateway import records
from radishcourse_gateway import view
from radishcourse_model import ids
from radishcourse_policy import clock as clocks
from tests import sitefiles

SERVICE = ids.ServiceId('desk')
# The users' bound on new work for an upstream whose entry is removed.
DRAINING_S = 2.0


class LapseTest(testtools.TestCase):
    """Guards against an outage that goes on after the store is back."""

    def setUp(self):
        super().setUp()
        self._clock = clocks.ManualClock(100.0)
        self._view = view.View(self._clock, manifest.Decoder())
        self._version = 0
        self._take(records.Table.CONFIGURATION, 'config', sitefiles.manifest(1))
        for name in ('desk-1', 'desk-2'):
            self._enter(name)

    def _take(self, table: records.Table, key: str, value) -> None:
        self._version += 1
        data = None if value is None else json.dumps(value).encode()
        record = records.Record(table, key, self._version, data)
        self._view.take([record], 'test')

    def _enter(self, name: str) -> None:
        entry = {
            'service': SERVICE,
            'address': '10.0.0.1:80',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
        }
        self._take(records.Table.UPSTREAMS, name, entry)

    def _remove(self, name: str) -> None:
        self._take(records.Table.UPSTREAMS, name, None)

    def _usable(self) -> set[str]:
        return {
            listed.upstream.upstream_id for listed in self._view.usable(SERVICE)
        }

    def test_lapsed_entries_serve_while_no_other_is_left(self):
        self._view.note_store_back()
        self._remove('desk-1')
        self.assertEqual({'desk-2'}, self._usable())
        self._remove('desk-2')
        self.assertEqual({'desk-1', 'desk-2'}, self._usable())
        self._enter('desk-2')
        self.assertEqual({'desk-2'}, self._usable())

    def test_entries_that_do_not_return_are_gone(self):
        self._view.note_store_back()
        for name in ('desk-1', 'desk-2'):
            self._remove(name)
        self._clock.advance(DRAINING_S)
        self.assertEqual(set(), self._usable())

    def test_entries_removed_without_an_outage_are_gone_at_once(self):
        for name in ('desk-1', 'desk-2'):
            self._remove(name)
        self.assertEqual(set(), self._usable())
