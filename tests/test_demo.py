"""The demo as a user runs it."""

import subprocess
import sys

import testtools


class DemoTest(testtools.TestCase):
    """Guards against a first impression that fails."""

    def test_demo_exits_with_success(self):
        done = subprocess.run(
            [sys.executable, '-m', 'radishcourse_standins.demo'],
            capture_output=True,
            text=True,
            timeout=120,
            check=False,
        )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
