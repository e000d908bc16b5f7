"""Log lines under load: which are dropped, and that drops are known."""

import json
import os

import testtools

from radishcourse_gateway import logsink
from radishcourse_node import events
from radishcourse_policy import clock as clocks

ANSWERED = events.Event.REQUEST_ANSWERED.value
STARTED = events.Event.ATTEMPT_STARTED.value
DROPPED = events.Event.LOG_DROPPED.value
SECONDS = 20


class LogSinkTest(testtools.TestCase):
    """Guards against answers without a record, by which they are billed."""

    def _log(self, answers_per_s: int, others_per_s: int) -> list[dict]:
        """Returns the lines of some seconds of load."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        clock, data = clocks.ManualClock(100.0), b''
        sink = logsink.LogSink(writer, clock)
        for _ in range(SECONDS * 10):
            for _ in range(others_per_s // 10):
                sink({'event': STARTED})
            for _ in range(answers_per_s // 10):
                sink({'event': ANSWERED})
            data += os.read(reader, 1 << 20)
            clock.advance(0.1)
        return [json.loads(line) for line in data.splitlines()]

    def _count(self, lines: list[dict], event: int) -> int:
        return sum(line['event'] == event for line in lines)

    def test_answers_are_recorded_while_other_lines_are_dropped(self):
        lines = self._log(answers_per_s=300, others_per_s=900)
        self.assertEqual(300 * SECONDS, self._count(lines, ANSWERED))
        self.assertLess(self._count(lines, STARTED), 900 * SECONDS)

    def test_drops_are_logged(self):
        lines = self._log(answers_per_s=100, others_per_s=1200)
        reports = [line for line in lines if line['event'] == DROPPED]
        self.assertGreater(len(reports), SECONDS / 2)
        self.assertLessEqual(len(reports), SECONDS + 1)
        kept = self._count(lines, STARTED)
        reported = sum(line['dropped'] for line in reports)
        self.assertAlmostEqual(1200 * SECONDS - kept, reported, delta=1200)

    def test_volume_is_bounded(self):
        lines = self._log(answers_per_s=3000, others_per_s=3000)
        bound = logsink.BURST_LINES + logsink.LINES_PER_S * SECONDS
        self.assertLessEqual(len(lines), bound + SECONDS + 1)

    def test_usual_load_drops_nothing(self):
        lines = self._log(answers_per_s=100, others_per_s=200)
        self.assertEqual(0, self._count(lines, DROPPED))
        self.assertEqual(300 * SECONDS, len(lines))
