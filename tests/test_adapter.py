"""Decoding of the platform's settings file, manifest and upstream entries."""

import io
import json
import os
import pathlib
import tempfile

import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_adapter import manifest
from radishcourse_adapter import program
from radishcourse_adapter import settings
from radishcourse_gateway import directory
from radishcourse_gateway import errors
from radishcourse_gateway import records
from radishcourse_gateway import settings as gateway_settings
from radishcourse_gateway import upstreams
from radishcourse_node import environment as environments
from radishcourse_node import exitstatus
from radishcourse_policy import canary
from radishcourse_policy import dutylease
from radishcourse_policy import position as positions
from tests import sitefiles

SETTINGS = """
node = "front-1"
ip = "127.0.0.1"
zone = "zone-a"
seeds = ["127.0.0.1:1"]
[zones]
zone-a = "region"
[listen]
front = "127.0.0.1:8227"
readiness = "127.0.0.1:8220"
control = "127.0.0.1:8229"
[limits]
memoryMb = 150
[bounds]
graceS = 8
budgetRatio = 0.9
retrySlack = 56
coldExcess = 1.5
sessionS = 6.5
[platform]
address = "127.0.0.1:8223"
"""
DUTIES = """
[cloudApi]
address = "127.0.0.1:8230"
duties = ["metering", "unknown"]
dutiesPerS = 4
[bounds]
fencing = false
leaseMs = 2500
thawMs = 400
reportWindowS = 4
usageError = 0.02
usageLateS = 8
"""


def _record(key: str, value: object, table=records.Table.CONFIGURATION):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return records.Record(table, key, positions.Position(1, 1), data)


def _write(folder: str, text: str) -> pathlib.Path:
    path = pathlib.Path(folder) / 'settings.toml'
    path.write_text(text)
    return path


class SettingsTest(testtools.TestCase):
    """Guards against settings of the platform that do not reach the gateway."""

    def test_fields_reach_the_gateway_settings(self):
        with tempfile.TemporaryDirectory() as folder:
            loaded = settings.read(_write(folder, SETTINGS))
        self.assertEqual('127.0.0.1:8227', loaded.listen)
        self.assertEqual('http://127.0.0.1:8223', loaded.platform)
        bounds = loaded.bounds
        self.assertEqual(8, bounds.stop_s)
        self.assertEqual(0.9, bounds.repeat_share)
        self.assertEqual(56, bounds.repeat_slack)
        self.assertEqual(6.5, bounds.session_s)

    def test_first_port_between_nodes_takes_relayed_requests(self):
        with tempfile.TemporaryDirectory() as folder:
            without = settings.read(_write(folder, SETTINGS))
            text = 'portRange = [7340, 7355]\n' + SETTINGS
            given = settings.read(_write(folder, text))
        self.assertIsNone(without.relay_listen)
        self.assertEqual('127.0.0.1:7340', given.relay_listen)

    def test_duties_reach_the_gateway_settings(self):
        text = SETTINGS.replace('[bounds]', DUTIES)
        with tempfile.TemporaryDirectory() as folder:
            loaded = settings.read(_write(folder, text))
        self.assertEqual('http://127.0.0.1:8230', loaded.control_api)
        self.assertEqual({dutylease.Duty.USAGE}, loaded.duties)
        self.assertEqual(4.0, loaded.duties_per_s)
        bounds = loaded.bounds
        self.assertEqual((2.5, 0.4), (bounds.lease_s, bounds.thaw_s))
        self.assertEqual(4.0, bounds.usage_window_s)
        self.assertEqual(0.02, bounds.usage_error)
        self.assertEqual(8.0, bounds.usage_late_s)

    def test_duties_are_off_without_their_table_or_list(self):
        for table in ('', '[cloudApi]\naddress = "127.0.0.1:8230"\n'):
            with tempfile.TemporaryDirectory() as folder:
                loaded = settings.read(_write(folder, SETTINGS + table))
            self.assertIsNone(loaded.control_api)
            self.assertEqual(frozenset(), loaded.duties)

    def test_overload_table_is_optional_and_reaches_the_settings(self):
        with tempfile.TemporaryDirectory() as folder:
            missing = settings.read(_write(folder, SETTINGS)).overload
            text = f'{SETTINGS}\n[overload]\nenabled = false\nwindowS = 5'
            given = settings.read(_write(folder, text)).overload
            wrong = f'{SETTINGS}\n[overload]\nfloorShare = 0.1'
            path = _write(folder, wrong)
            self.assertRaises(errors.SettingsError, settings.read, path)
        self.assertEqual(gateway_settings.Overload(), missing)
        self.assertEqual((False, 5.0), (given.enabled, given.window_s))

    def test_nodes_of_an_installation_share_a_key(self):
        with tempfile.TemporaryDirectory() as folder:
            first = settings.read(_write(folder, SETTINGS))
            other = SETTINGS.replace('front-1', 'front-2')
            second = settings.read(_write(folder, other))
        self.assertEqual(first.peer_key, second.peer_key)

    def test_invalid_file_prints_one_line_and_sets_the_exit_status(self):
        for text in ('node = ', 'node = "x"', SETTINGS.replace(':8227', '')):
            stderr = io.StringIO()
            environment = environments.Environment(stderr=stderr)
            with tempfile.TemporaryDirectory() as folder:
                path = _write(folder, text)
                os.environ[program.SETTINGS_VARIABLE] = str(path)
                self.addCleanup(os.environ.pop, program.SETTINGS_VARIABLE, None)
                status = program.main(environment)
            self.assertEqual(exitstatus.ExitStatus.INVALID, status)
            self.assertEqual(1, stderr.getvalue().count('\n'))

    def test_changed_settings_keep_name_and_addresses(self):
        with tempfile.TemporaryDirectory() as folder:
            before = settings.read(_write(folder, SETTINGS))
            changed = SETTINGS.replace('8227', '9999').replace('56', '20')
            after = settings.read(_write(folder, changed))
        current = gateway_settings.CurrentSettings(before)
        self.assertEqual(['bounds'], current.replace(after))
        self.assertEqual('127.0.0.1:8227', current.value.listen)
        self.assertEqual(20, current.value.bounds.repeat_slack)


class ManifestTest(testtools.TestCase):
    """Guards against wrongly decoded manifests, orders and statuses."""

    decoder = manifest.Decoder()

    def _decode(self, value) -> directory.Directory:
        return self.decoder.decode(_record('config', value))

    def test_routes_services_and_keys(self):
        decoded = self._decode(sitefiles.manifest(7))
        self.assertEqual(7, decoded.version)
        route = decoded.match(sitefiles.HOST.upper(), '/sized/1')
        self.assertEqual(('small', 'large'), route.models)
        self.assertTrue(route.retryable)
        self.assertFalse(decoded.match(sitefiles.HOST, '/order/1').retryable)
        self.assertEqual('first', decoded.organisation(sitefiles.KEY).name)
        self.assertIsNone(decoded.organisation('other'))
        engine = decoded.services['engine'].engine
        self.assertEqual({'small': 0.02, 'large': 0.2}, engine.costs)

    def _decode_scaling(self, scaling) -> directory.Scaling | None:
        services = [{'name': 'engine', 'scaling': scaling}]
        decoded = self._decode({'version': 1, 'services': services})
        return decoded.services['engine'].scaling

    def test_scaling_of_a_service(self):
        scaling = self._decode_scaling({'min': 10, 'max': 23, 'bootS': 8})
        self.assertEqual(directory.Scaling(10, 23, 8.0), scaling)
        self.assertIsNone(self._decode_scaling(None))

    def test_malformed_scaling_is_unreadable(self):
        valid = {'min': 10, 'max': 23, 'bootS': 8}
        for fields in (
            {'min': 24},
            {'min': -1},
            {'min': 2.5},
            {'min': '10'},
            {'max': None},
            {'max': 2**60},
            {'bootS': -1},
            {'bootS': 'soon'},
            {'bootS': 1e300},
        ):
            self.assertRaises(
                errors.Unreadable, self._decode_scaling, {**valid, **fields}
            )
        for name in valid:
            partial = {key: valid[key] for key in valid if key != name}
            self.assertRaises(errors.Unreadable, self._decode_scaling, partial)

    def test_longest_prefix_wins(self):
        routes = [
            sitefiles.route('short', '/a/', 'idempotent', 'desk'),
            sitefiles.route('long', '/a/b/', 'idempotent', 'desk'),
        ]
        decoded = self._decode(sitefiles.manifest(1, routes=routes))
        self.assertEqual('long', decoded.match(sitefiles.HOST, '/a/b/c').name)
        self.assertEqual('short', decoded.match(sitefiles.HOST, '/a/bc').name)
        self.assertIsNone(decoded.match(sitefiles.HOST, '/a'))
        self.assertIsNone(decoded.match('other.example', '/a/b/c'))

    def test_unknown_fields_are_ignored(self):
        decoded = self._decode({**sitefiles.manifest(1), 'news': [1, 2]})
        self.assertEqual(1, decoded.version)

    def test_order_and_status(self):
        order = {'service': 'engine', 'to': 'v2', 'withinS': 12}
        decoded = self.decoder.decode(_record('rollout/engine', order))
        self.assertEqual(('v2', 12), (decoded.to_version, decoded.within_s))
        status = canary.Status(
            decoded.service,
            decoded.to_version,
            canary.RolloutState.COMPLETED,
            positions.Position(2, 4),
            99,
        )
        self.assertEqual(
            status,
            manifest.decode_status(
                decoded.service, manifest.encode_status(status)
            ),
        )

    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=40),
            strategies.recursive(
                strategies.none()
                | strategies.integers()
                | strategies.text(max_size=4),
                lambda inner: (
                    strategies.lists(inner, max_size=3)
                    | strategies.dictionaries(
                        strategies.sampled_from(
                            ['version', 'routes', 'services', 'tenants']
                        ),
                        inner,
                        max_size=4,
                    )
                ),
                max_leaves=6,
            ).map(lambda value: json.dumps(value).encode()),
        ),
        strategies.sampled_from(['config', 'rollout/x', 'servers']),
    )
    def test_any_row_is_decoded_or_unreadable(self, data, key):
        table = records.Table.CONFIGURATION
        if key == 'servers':
            table = records.Table.UPSTREAMS
        try:
            self.decoder.decode(_record(key, data, table))
        except errors.Unreadable:
            return


class EntryTest(testtools.TestCase):
    """Guards against malformed entries that become upstreams."""

    ENTRY = {
        'service': 'engine',
        'address': '10.0.0.1:80',
        'zone': 'zone-a',
        'version': 'v1',
        'slots': 8,
        'state': 'draining',
        'coldLeftMs': 1500,
        'callSeq': 4,
        'born': 12,
    }

    def _decode(self, **fields):
        entry = {**self.ENTRY, **fields}
        record = _record('i-1', entry, records.Table.UPSTREAMS)
        return manifest.Decoder().decode(record)

    def test_fields(self):
        decoded = self._decode()
        self.assertEqual('i-1', decoded.upstream_id)
        self.assertIs(upstreams.ListedState.DRAINING, decoded.state)
        self.assertEqual((1.5, 12), (decoded.cold_s, decoded.started_ms))

    def test_invalid_fields_are_unreadable(self):
        for fields in (
            {'state': 'odd'},
            {'slots': 'many'},
            {'address': 'nowhere'},
            {'address': 7},
            {'zone': None},
            {'address': '10.0.0.1:99999'},
            {'address': '10.0.0.1:0'},
            {'address': '10.0.0.1:\u0663'},
            {'address': 'worker.example:80'},
            {'address': '999.0.0.1:80'},
            {'slots': 10**30},
            {'slots': -1},
            {'born': 2**63},
            {'coldLeftMs': 1e300},
            {'coldLeftMs': -5},
        ):
            self.assertRaises(errors.Unreadable, self._decode, **fields)
