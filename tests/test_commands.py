"""The operators' command line against the platform stand-in."""

import json
import pathlib
import tempfile

import testtools

from radishcourse_cli import differences
from radishcourse_cli import exitstatus
from radishcourse_standins import processes
from tests import cluster as clusters
from tests import operators

EXAMPLE = pathlib.Path(__file__).parent.parent / 'examples' / 'stroykrov'


class CommandsTest(testtools.TestCase):
    """Guards against commands that lose or misreport a change."""

    def setUp(self):
        super().setUp()
        self._folder = pathlib.Path(self._enter(tempfile.TemporaryDirectory()))
        started = self._enter(processes.started(self._folder))
        self._platform = started.stand_in('platform')
        processes.wait_http(self._platform, '/', None)

    def _enter(self, manager):
        value = manager.__enter__()
        self.addCleanup(manager.__exit__, None, None, None)
        return value

    def _copy(self, name: str) -> pathlib.Path:
        folder = self._folder / name
        folder.mkdir()
        for file in EXAMPLE.glob('*.json'):
            (folder / file.name).write_bytes(file.read_bytes())
        return folder

    def _run(self, *arguments: str, author: str = 'ana') -> str:
        status, output = operators.run(list(arguments), self._platform, author)
        self.assertEqual(0, status, output)
        return output.strip()

    def _run_refused(
        self, exit_status, *arguments: str, author: str = 'bo'
    ) -> str:
        status, output = operators.run(list(arguments), self._platform, author)
        self.assertEqual(exit_status, status, output)
        return output

    def test_apply_prints_revisions_without_gaps(self):
        folder = self._copy('config')
        self.assertEqual('1', self._run('apply', str(folder)))
        self.assertEqual('1', self._run('apply', str(folder)))
        zone = {'zones': {'sofia-a': {'state': 'out'}}}
        (folder / '40-zone.json').write_text(json.dumps(zone))
        self.assertIn('"in" -> "out"', self._run('diff', str(folder)))
        self.assertEqual('2', self._run('apply', str(folder)))
        self.assertEqual('', self._run('diff', str(folder)))

    def test_apply_on_an_old_base_names_the_conflicting_revision(self):
        folder = self._copy('config')
        self._run('apply', str(folder))
        self.assertEqual('2', self._run('zone', 'out', 'sofia-a', author='cy'))
        output = self._run_refused(
            exitstatus.ExitStatus.CONFLICT, 'apply', str(folder)
        )
        self.assertIn('revision 2 by cy', output)
        self.assertEqual('3', self._run('apply', str(folder), '--base=2'))

    def test_change_saved_in_folder_survives_the_next_apply(self):
        folder = self._copy('config')
        self._run('apply', str(folder))
        self._run('zone', 'out', 'sofia-a', f'--folder={folder}')
        self.assertEqual('2', self._run('apply', str(folder)))
        self.assertIn('"out"', self._run('show'))

    def test_version_keeps_shares_at_100(self):
        folder = self._copy('config')
        versions = {'v1': {'share': 60}, '1.10': {'share': 40}}
        more = {'models': {'quote-small': {'versions': versions}}}
        (folder / '40-more.json').write_text(json.dumps(more))
        self._run('apply', str(folder))
        self._run('version', 'withdrawn', 'quote-small', '1.10')
        shown = json.loads(self._run('show'))
        found = shown['models']['quote-small']['versions']
        self.assertEqual(
            (100, 'withdrawn'), (found['v1']['share'], found['1.10']['state'])
        )

    def test_unknown_names_and_states_are_refused(self):
        self._run('apply', str(self._copy('config')))
        invalid = exitstatus.ExitStatus.INVALID
        self._run_refused(invalid, 'zone', 'gone', 'sofia-a')
        output = self._run_refused(invalid, 'zone', 'out', 'sofia-z')
        self.assertIn('sofia-a', output)
        self._run_refused(invalid, 'rollout', 'paused', 'lost')
        self._run_refused(invalid, 'lost-command')

    def test_secrets_are_not_shown(self):
        folder = self._copy('config')
        shown = self._run('diff', str(folder))
        self._run('apply', str(folder))
        shown += self._run('show')
        self.assertIn(differences.HIDDEN, shown)
        self.assertNotIn('an-example-secret', shown)
        self.assertNotIn('sha256:', shown)

    def test_history_names_authors(self):
        self._run('apply', str(self._copy('config')))
        self._run('zone', 'out', 'sofia-a', author='cy')
        lines = self._run('history').splitlines()
        self.assertEqual(['1', 'ana'], lines[1].split()[:2])
        self.assertEqual(['2', 'cy', 'zones'], lines[2].split())

    def test_outage_has_an_exit_code_of_its_own(self):
        folder = self._copy('config')
        self._platform.kill()
        self._run_refused(
            exitstatus.ExitStatus.UNAVAILABLE, 'apply', str(folder)
        )

    def test_help_has_a_line_for_each_command(self):
        output = self._run('--help')
        for name in ('check', 'apply', 'status', 'bills'):
            self.assertIn(f'\n  {name} ', output)


class StatusTest(testtools.TestCase):
    """Guards against a status that hides a node or an upstream."""

    def test_shows_nodes_versions_upstreams_and_bills(self):
        with clusters.running(flush_s=0.2) as cluster:
            cluster.chat('entry-0', 'tag')
            cluster.chat('entry-1', 'tag')
            _, latencies = operators.run(['latency'], cluster.platform)
            line = latencies.splitlines()[-1].split()
            self.assertEqual(['roofers', 'tag', '2'], line[1:4])
            clusters.wait_until(lambda: len(cluster.bills()) == 2)
            cluster.nodes['entry-1'].kill()
            _, output = operators.run(['status', '--json'], cluster.platform)
            fleet = json.loads(output)
            nodes = {node['node']: node for node in fleet['nodes']}
            self.assertEqual(1, nodes['entry-0']['revision'])
            self.assertEqual('unreachable', nodes['entry-1']['state'])
            self.assertEqual('active 100%', fleet['versions']['small/v1'])
            self.assertEqual(
                {'warm': ['entry-0']}, fleet['upstreams']['small-1']
            )
            _, table = operators.run(['status'], cluster.platform)
            self.assertIn('unreachable', table)
            _, bills = operators.run(['bills', '--json'], cluster.platform)
            self.assertEqual([2], [line['jobs'] for line in json.loads(bills)])
