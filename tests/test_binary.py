"""The command `radishcourse-node`, run in the test's process."""

import io
import json
import pathlib
import socket
import tempfile

import testtools

from radishcourse_node import environment as environments
from radishcourse_node import exitstatus
from radishcourse_node import main as node_main
from radishcourse_standins import processes


class ExitStatusTest(testtools.TestCase):
    """Guards against a traceback where operators expect an exit code."""

    def _run(self, settings: dict) -> tuple[int, str]:
        stderr = io.StringIO()
        environment = environments.Environment(stderr=stderr)
        with tempfile.TemporaryDirectory() as name:
            path = pathlib.Path(name) / 'node.json'
            path.write_text(json.dumps(settings))
            status = node_main.main(str(path), environment)
        return status, stderr.getvalue()

    def test_invalid_settings(self):
        status, output = self._run({'node': 1})
        self.assertEqual(exitstatus.ExitStatus.INVALID, status)
        self.assertThat(
            output, testtools.matchers.StartsWith('settings_invalid')
        )

    def test_address_in_use(self):
        with socket.create_server(('127.0.0.1', 0)) as taken:
            address = f'127.0.0.1:{taken.getsockname()[1]}'
            status, output = self._run(
                {
                    'node': 'entry-1',
                    'zone': 'sofia-a',
                    'listen': address,
                    'peer_listen': f'127.0.0.1:{processes.free_port()}',
                    'platform': 'http://127.0.0.1:1',
                    'rating': 'http://127.0.0.1:1',
                }
            )
        self.assertEqual(exitstatus.ExitStatus.ADDRESS_IN_USE, status, output)
        self.assertIn(f'address_in_use: {address}', output)
