"""Configuration revisions against the platform stand-in."""

import concurrent.futures
import contextlib
import pathlib
import tempfile

import anyio
import httpcore
import msgspec
import testtools

from radishcourse_model import ids
from radishcourse_platform import errors
from radishcourse_platform import http
from radishcourse_platform import objects
from radishcourse_platform import revisions
from radishcourse_platform import table
from radishcourse_standins import processes

WRITERS = 6


@contextlib.contextmanager
def platform(**options):
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.started(pathlib.Path(folder)) as started,
    ):
        process = started.stand_in('platform', **options)
        processes.wait_http(process, '/', None)
        yield process


def set_fault(process, mode: str) -> None:
    body = msgspec.json.encode({'mode': mode})
    httpcore.request('POST', f'{process.url}/control/faults', content=body)


def call(process, operation):
    """Returns the result of `operation(source)` with its own client."""

    async def main():
        async with http.open_client(process.url) as client:
            source = revisions.Revisions(
                table.Table(client), objects.ObjectStore(client)
            )
            return await operation(source)

    return anyio.run(main)


def propose(base, document, author: str = 'tester'):
    write_id = ids.WriteId(f'{author}-{base.revision}')
    return lambda source: source.propose(base, document, author, write_id)


class ConfirmHeadTest(testtools.TestCase):
    """Guards against stale reads that confirm an outdated revision."""

    def test_stale_reads_do_not_affect_confirm_head(self):
        with platform() as process:
            first = {'a': 1}
            call(process, propose(revisions.EMPTY_SNAPSHOT, first))
            base = call(process, lambda source: source.latest())
            seen = call(
                process, lambda source: source.confirm_head(revisions.NO_HEAD)
            )
            set_fault(process, 'stale_reads')
            call(process, propose(base, {'a': 2}))
            after = call(process, lambda source: source.confirm_head(seen))
            self.assertEqual((1, 2), (seen.head.revision, after.head.revision))
            again = call(process, lambda source: source.confirm_head(after))
            self.assertEqual(after, again)
            latest = call(process, lambda source: source.latest())
            self.assertEqual({'a': 2}, latest.document)

    def test_rate_limit_is_distinguished_from_an_outage(self):
        async def read_twice(source):
            await source.head()
            return await source.head()

        with platform(reads=1) as process:
            self.assertRaises(errors.RateLimited, call, process, read_twice)
        with platform() as process:
            set_fault(process, 'down')
            error = self.assertRaises(
                errors.Unavailable, call, process, read_twice
            )
            self.assertNotIsInstance(error, errors.RateLimited)


class ConcurrentChangeTest(testtools.TestCase):
    """Guards against lost updates when operators make changes concurrently."""

    def _propose_concurrently(self, process) -> tuple[list, list]:
        def run(index: int):
            author = f'operator-{index}'
            try:
                return call(
                    process,
                    propose(
                        revisions.EMPTY_SNAPSHOT, {'winner': index}, author
                    ),
                )
            except revisions.RevisionConflict as error:
                return error

        with concurrent.futures.ThreadPoolExecutor(WRITERS) as pool:
            results = list(pool.map(run, range(WRITERS)))
        winners = [item for item in results if isinstance(item, revisions.Head)]
        losers = [item for item in results if item not in winners]
        return winners, losers

    def test_exactly_one_succeeds_and_the_others_learn_its_author(self):
        for mode in ('up', 'lose_answers', 'stale_reads'):
            with platform() as process:
                set_fault(process, mode)
                winners, losers = self._propose_concurrently(process)
                self.assertEqual(1, len(winners), mode)
                reported = {(item.head.revision, item.head.author)
                            for item in losers}  # fmt: skip
                self.assertEqual({(1, winners[0].author)}, reported, mode)
                latest = call(process, lambda source: source.latest())
                author = f'operator-{latest.document["winner"]}'
                self.assertEqual(winners[0].author, author, mode)


class SnapshotTest(testtools.TestCase):
    """Guards against a stored snapshot with the wrong document."""

    def test_wrong_stored_snapshot_is_ignored(self):
        with platform() as process:

            async def fill(source):
                base = revisions.EMPTY_SNAPSHOT
                for number in range(1, revisions.SNAPSHOT_INTERVAL + 1):
                    document = {'n': number}
                    await propose(base, document)(source)
                    base = revisions.Snapshot(ids.Revision(number), document)

            call(process, fill)
            key = f'config/snapshot/{revisions.SNAPSHOT_INTERVAL:012d}'
            wrong = msgspec.json.encode({'n': 'wrong'})
            httpcore.request(
                'PUT', f'{process.url}/v1/object?key={key}', content=wrong
            )
            latest = call(process, lambda source: source.latest())
            self.assertEqual(
                {'n': revisions.SNAPSHOT_INTERVAL}, latest.document
            )
