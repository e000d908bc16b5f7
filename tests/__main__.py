"""Runs all tests, each module in a process of its own.

Tests that KNOWN-RED.txt lists (`test: <id>`) are run and reported, but
their failure does not change the exit status. Arguments select modules.
"""

import concurrent.futures
import io
import pathlib
import re
import subprocess
import sys
import unittest

import testtools

ROOT = pathlib.Path(__file__).parent
KNOWN_RED = ROOT.parent / 'KNOWN-RED.txt'
MAX_CONCURRENT_MODULES = 4
MODULE_TIMEOUT_S = 540
_RESULT = re.compile(r'^(PASS|FAIL) (\S+)$', re.MULTILINE)


class _Result(testtools.TestResult):
    """Collects the ids of tests that passed and of tests that failed."""

    def __init__(self):
        super().__init__()
        self.failed_ids: list[str] = []
        self.passed_ids: list[str] = []

    def addSuccess(self, test, details=None):  # noqa: N802
        super().addSuccess(test, details)
        self.passed_ids.append(test.id())

    def addFailure(self, test, err=None, details=None):  # noqa: N802
        super().addFailure(test, err, details)
        self.failed_ids.append(test.id())

    def addError(self, test, err=None, details=None):  # noqa: N802
        super().addError(test, err, details)
        self.failed_ids.append(test.id())

    def addUnexpectedSuccess(self, test, details=None):  # noqa: N802
        super().addUnexpectedSuccess(test, details)
        self.failed_ids.append(test.id())


def run_module(name: str) -> int:
    """Runs one module in this process and prints a line for each test."""
    suite = unittest.defaultTestLoader.loadTestsFromName(f'tests.{name}')
    result = _Result()
    result.startTestRun()
    suite.run(result)
    result.stopTestRun()
    for test, text in result.errors + result.failures:
        print(f'--- {test.id()}\n{text}')
    for test_id in result.passed_ids:
        print(f'PASS {test_id}')
    for test_id in result.failed_ids:
        print(f'FAIL {test_id}')
    return 1 if result.failed_ids else 0


def _spawn(name: str) -> tuple[str, str, list[tuple[str, str]]]:
    command = [sys.executable, '-m', 'tests', '--module', name]
    try:
        done = subprocess.run(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=MODULE_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return name, 'timeout', [('FAIL', f'tests.{name}')]
    results = _RESULT.findall(done.stdout)
    failed = any(status == 'FAIL' for status, _ in results)
    if not results or (done.returncode and not failed):
        results.append(('FAIL', f'tests.{name}'))
    return name, done.stdout, results


def _read_known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith('test:')}


def run_all(names: list[str]) -> int:
    """Runs modules concurrently; prints failures and a summary."""
    known = _read_known_red()
    passed, failed, known_failed = 0, [], []
    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_MODULES) as pool:
        for name, output, results in pool.map(_spawn, names):
            failures = [test for status, test in results if status == 'FAIL']
            passed += len(results) - len(failures)
            known_failed += [test for test in failures if test in known]
            unexpected = [test for test in failures if test not in known]
            failed += unexpected
            print(f'{name}: {len(results) - len(failures)} of {len(results)}')
            if unexpected:
                print(output)
    for test in known_failed:
        print(f'known red: {test}')
    for test in failed:
        print(f'failed: {test}')
    print(f'{passed} passed, {len(failed)} failed')
    return 1 if failed or not passed else 0


def main(arguments: list[str]) -> int:
    """Runs the named modules, or all; returns the exit status."""
    sys.stdout = io.TextIOWrapper(
        sys.stdout.buffer, 'utf-8', 'replace', line_buffering=True
    )
    if arguments[:1] == ['--module']:
        return run_module(arguments[1])
    names = arguments or sorted(path.stem for path in ROOT.glob('test_*.py'))
    return run_all(names)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
