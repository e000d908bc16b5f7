"""Rows of other writers that can't be used, beside good ones."""

import contextlib
import json
import socket
import struct
import types

import anyio
import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_adapter import manifest
from radishcourse_adapter import store
from radishcourse_gateway import errors
from radishcourse_gateway import records
from radishcourse_gateway import view as views
from radishcourse_model import errors as model_errors
from radishcourse_model import ids
from radishcourse_node import gossip
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import http
from radishcourse_platform import revisions
from radishcourse_platform import table
from radishcourse_platform import vms
from radishcourse_policy import clock as clocks
from radishcourse_policy import position as positions
from radishcourse_wire import errors as wire_errors
from radishcourse_wire.gen.peer import ttypes
from tests import test_adapter
from tests import test_gateway_fleet

ENTRY_FIELDS = [
    'service',
    'address',
    'zone',
    'version',
    'slots',
    'state',
    'coldLeftMs',
    'born',
]
DEEP = b'[' * 100_000 + b']' * 100_000
# Rows of other writers. Some of them ended the task that follows the table.
ODD_VALUES = (
    b'',
    b'\xff\xfe',
    b'null',
    b'{"zone": ' + DEEP + b'}',
    b'{"unknown": ' + DEEP + b'}',
    DEEP,
    b'{"slots": ' + b'9' * 5000 + b'}',
    b'{"slots": 1e999}',
)


def _record(key: str, value: object, table=records.Table.CONFIGURATION):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return records.Record(table, key, positions.Position(1, 1), data)


class OddRowTest(testtools.TestCase):
    """Guards against one odd row that costs the others of its table."""

    def setUp(self):
        super().setUp()
        self.view = views.View(clocks.ManualClock(100.0), manifest.Decoder())

    def _apply(self, *rows: tuple[str, object]) -> None:
        self.view.apply(
            [
                _record(key, value, records.Table.UPSTREAMS)
                for key, value in rows
            ],
            'test',
        )

    def _usable(self) -> set[str]:
        service = ids.ServiceId('engine')
        return {item.upstream.upstream_id for item in self.view.usable(service)}

    def _entry(self, **fields) -> dict:
        return {**test_adapter.EntryTest.ENTRY, 'state': 'ready', **fields}

    def test_rows_after_an_odd_one_are_applied(self):
        for number, value in enumerate(ODD_VALUES):
            name = f'good-{number}'
            self._apply(('odd', value), (name, self._entry()))
            self.assertIn(name, self._usable())
        self.assertEqual(len(ODD_VALUES), self.view.unreadable_rows)

    def test_entry_that_becomes_odd_names_no_upstream_until_it_is_good(self):
        for value in ODD_VALUES:
            self._apply(('a', self._entry()), ('b', self._entry()))
            self._apply(('a', value))
            self.assertEqual({'b'}, self._usable())
            self._apply(('a', self._entry()))
            self.assertEqual({'a', 'b'}, self._usable())

    def test_ids_that_no_header_can_carry_name_no_upstream(self):
        for key in ('', 'a b', 'a\nb', '\u00e4', 'x' * 201):
            self._apply((key, self._entry()))
        self.assertEqual(set(), self._usable())

    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(ENTRY_FIELDS),
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats(allow_nan=False, allow_infinity=False)
            | strategies.text(max_size=6)
            | strategies.lists(strategies.integers(), max_size=2)
            | strategies.sampled_from(
                ['1.2.3.4:80', '1.2.3.4:70000', '::1:80', ':80', '1.2.3:4']
            ),
        )
    )
    def test_entry_is_usable_or_unreadable_whatever_its_fields(self, fields):
        view = views.View(clocks.ManualClock(100.0), manifest.Decoder())
        row = _record('odd', self._entry(**fields), records.Table.UPSTREAMS)
        view.apply([row], 'test')
        for listed in view.upstreams.values():
            entry = listed.upstream
            host, _, port = entry.address.rpartition(':')
            socket.inet_aton(host)
            self.assertTrue(0 < int(port) < 65536)
            struct.pack('>q', entry.started_ms)
            self.assertTrue(0 < entry.slots < 2**63)
            self.assertTrue(0 <= entry.cold_s < 1e7)

    def test_odd_orders_of_the_operator_are_unreadable(self):
        decoder = manifest.Decoder()
        for within_s in (0, -1, 1e300, '20', None, 10**30):
            order = {'service': 'engine', 'to': 'v2', 'withinS': within_s}
            self.assertRaises(
                errors.Unreadable, decoder.decode, _record('rollout/x', order)
            )
        for value in ODD_VALUES:
            for key in ('config', 'rollout/x'):
                self.assertRaises(
                    errors.Unreadable, decoder.decode, _record(key, value)
                )


class _Client:
    """Answers each call with the same body."""

    def __init__(self, body: bytes):
        self._body = body

    async def call(self, method, path, body=None) -> http.Response:
        del method, path, body
        return http.Response(200, self._body)


class ReplyTest(testtools.TestCase):
    """Guards against replies of the platform that end the task that reads."""

    BODIES = (
        DEEP,
        b'{"rows": ' + DEEP + b'}',
        b'{"ver": 1, "rows": [], "x": ' + DEEP + b'}',
        b'{"ver": ' + b'9' * 400 + b', "rows": []}',
        b'{"key": "k", "version": 1, "value": {"a": ' + DEEP + b'}}',
        b'\xff',
        b'',
    )

    def _check(self, make, call) -> None:
        with self.assertRaises(platform_errors.PlatformError):
            anyio.run(call, make(_Client(DEEP)))
        for body in self.BODIES:
            with contextlib.suppress(platform_errors.PlatformError):
                anyio.run(call, make(_Client(body)))

    def test_store_of_the_gateway(self):
        clock = clocks.ManualClock(100.0)
        self._check(
            lambda client: store.Store(clock, client, client),
            lambda reader: reader.read(records.Table.UPSTREAMS),
        )
        self._check(
            lambda client: store.Store(clock, client, client),
            lambda reader: reader.follow(
                records.Table.UPSTREAMS, positions.Position(1, 1), 1.0
            ),
        )

    def test_rows_of_the_node(self):
        self._check(table.Table, lambda reader: reader.read('lease/a'))
        self._check(table.Table, lambda reader: reader.scan('bill/'))

    def test_list_of_vms_of_the_node(self):
        self._check(vms.VmList, lambda reader: reader.read())

    def test_snapshot_of_the_node(self):
        async def read(key):
            del key
            return DEEP

        repository = revisions.Revisions.__new__(revisions.Revisions)
        repository._store = types.SimpleNamespace(read=read)
        with self.assertRaises(model_errors.ConfigError):
            anyio.run(repository._read_snapshot, 1)

    def test_change_of_a_peer_of_the_node(self):
        change = ttypes.Change(1, b'', DEEP)
        with self.assertRaises(wire_errors.Malformed):
            gossip.decode_changes([change])


class GatewayTest(test_gateway_fleet.SiteTest):
    """Guards against gateways that lose upstreams, or end, by odd rows."""

    def _write_odd_rows(self, site) -> None:
        # The stand-in stores text as it is.
        for number, value in enumerate(ODD_VALUES):
            site.put('servers', f'a-{number}', value.decode('latin-1'))
        for number, address in enumerate(('127.0.0.1:99999', 'x:1', ':')):
            site.write_entry(f'b-{number}', 'desk', address=address)

    def _check_served(self, site) -> None:
        for name in site.gateways:
            statuses = [
                site.send(name, 'GET', f'/stock/{number}').status
                for number in range(20)
            ]
            self.assertEqual({200}, set(statuses), name)
            self.assertIsNone(site.gateways[name].popen.poll())

    def test_rows_after_odd_ones_are_followed_and_starts_succeed(self):
        site = self.start(2)
        self._write_odd_rows(site)
        site.start_worker('desk-3', 'desk')
        site.wait_workers('desk-3')
        site.wait_listed(5)
        for name in ('desk-1', 'desk-2'):
            site.put('servers', name, None)
        self._check_served(site)
        site.gateways['gateway-1'].kill()
        site.restart_gateway('gateway-1')
        site.wait_ready('gateway-1')
        self._check_served(site)
        self.assertEqual(
            {'desk-3'},
            {
                run['headers']['x-expect-instance']
                for run in site.runs('desk-3')
            },
        )
