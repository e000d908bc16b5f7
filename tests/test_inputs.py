"""Bounds on the work of one connection in a turn, without processes."""

import asyncio

import h11
import testtools

from radishcourse_node import inputs

CHUNKS = 10_000
REQUEST = (
    b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
    + b'1\r\nx\r\n' * CHUNKS
    + b'0\r\n\r\n'
)


class ParserTest(testtools.TestCase):
    """Guards against tiny chunks that keep the event loop."""

    def test_turns_are_short_and_lose_nothing(self):
        parser = inputs.Parser(64 * 1024)
        parser.receive_data(REQUEST)
        body, ended, turns = 0, False, 0
        while not ended:
            parser.start_turn()
            turns += 1
            count = 0
            while (event := parser.next_event()) is not h11.NEED_DATA:
                count += 1
                body += isinstance(event, h11.Data)
                if isinstance(event, h11.EndOfMessage):
                    ended = True
                    break
            self.assertLessEqual(count, inputs.EVENTS_PER_TURN)
            self.assertTrue(ended or parser.stopped)
        self.assertEqual(CHUNKS, body)
        self.assertGreater(turns, CHUNKS // inputs.EVENTS_PER_TURN)
        self.assertEqual(0, parser.unparsed_bytes)


class TurnsTest(testtools.TestCase):
    """Guards against connections that wait for others without end."""

    def test_all_connections_go_on_and_other_work_is_done_between(self):
        order = []

        async def run():
            turns = inputs.Turns()

            def make(name):
                def go_on():
                    order.append(name)
                    if order.count(name) < 100:
                        turns.add(go_on)

                return go_on

            for name in 'abc':
                turns.add(make(name))
            while len(order) - order.count('other') < 300:
                order.append('other')
                await asyncio.sleep(0)

        asyncio.run(run())
        self.assertGreater(order.count('other'), 1)
        for name in 'abc':
            self.assertEqual(100, order.count(name))

    def test_a_failure_does_not_stop_the_others(self):
        done = []

        async def run():
            asyncio.get_running_loop().set_exception_handler(
                lambda *_: done.append('failed')
            )
            turns = inputs.Turns()
            turns.add(lambda: 1 / 0)
            turns.add(lambda: done.append('next'))
            for _ in range(5):
                await asyncio.sleep(0)

        asyncio.run(run())
        self.assertEqual(['failed', 'next'], done)
