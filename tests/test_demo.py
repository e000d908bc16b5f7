"""Runs the demo as a user does."""

import subprocess
import sys

import testtools


class DemoTest(testtools.TestCase):
    """Guards against a demo that fails or hangs on a fresh checkout."""

    def test_demo_exits_with_success(self):
        done = subprocess.run(
            [sys.executable, '-m', 'radishcourse_standins.demo'],
            capture_output=True,
            text=True,
            timeout=120,
            check=False,
        )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
