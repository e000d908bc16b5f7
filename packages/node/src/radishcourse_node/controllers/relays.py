"""Claimed streams: read to their end, whether or not the caller listens."""

import contextlib
import dataclasses
import typing

import anyio

from radishcourse_node import errors
from radishcourse_node import job as jobs

# The outcome of a claimed stream is kept whole in memory until it is stored.
MAX_STREAM_BYTES = 16 * 2**20
MAX_TOTAL_BYTES = 64 * 2**20

Run = typing.Callable[[], typing.Awaitable[jobs.Answer]]
End = typing.Callable[[jobs.Answer, bytes | None], typing.Awaitable[None]]


class _Relay:
    """A stream that is read to its end, and who listens to it."""

    def __init__(self, run: Run, end: End):
        self.run = run
        self.end = end
        self.answer: jobs.Answer | None = None
        self.opened = anyio.Event()
        self.parts: list[bytes] = []
        self.size = 0
        self.error: Exception | None = None
        self.done = False
        self.changed = anyio.Event()

    def wake(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def listen(self):
        index = 0
        while True:
            while index < len(self.parts):
                yield self.parts[index]
                index += 1
            if self.done:
                break
            await self.changed.wait()
        if self.error is not None:
            raise self.error


class Relays:
    """Reads claimed streams in the background."""

    def __init__(self):
        self._tasks: anyio.abc.TaskGroup | None = None
        self._active: set[_Relay] = set()
        self._emptied = anyio.Event()

    def check_room(self, job: jobs.Job) -> None:
        """Refuses a streamed job while too much is in memory.

        Raises:
          Refusal: There is no room.
        """
        held = sum(relay.size for relay in self._active)
        if job.streamed and (held >= MAX_TOTAL_BYTES or self._tasks is None):
            raise errors.Refusal(
                errors.RefusalCode.OVERLOADED,
                'too many streams with a key are in progress',
                retry_after_s=1,
            )

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await anyio.sleep_forever()
            finally:
                self._tasks = None

    async def carry(self, run: Run, end: End) -> jobs.Answer:
        """Runs a streamed job; its caller may leave the returned answer.

        The job starts and ends in one background task, since what it holds
        open belongs to the task that opened it.

        Args:
          run: Runs the job.
          end: Called with the whole body, or None when it was interrupted,
            before the listener's stream ends.
        """
        relay = _Relay(run, end)
        self._active.add(relay)
        self._tasks.start_soon(self._carry, relay)
        await relay.opened.wait()
        if relay.answer is None:
            raise relay.error
        return dataclasses.replace(relay.answer, stream=relay.listen())

    async def finish(self) -> None:
        """Waits for all streams in progress."""
        while self._active:
            self._emptied = anyio.Event()
            await self._emptied.wait()

    async def _carry(self, relay: _Relay) -> None:
        try:
            relay.answer = await relay.run()
            relay.opened.set()
            await self._read_parts(relay)
            whole = None if relay.error else b''.join(relay.parts)
            await relay.end(relay.answer, whole)
        except Exception as error:
            relay.error = relay.error or error
        finally:
            relay.done = True
            relay.opened.set()
            relay.wake()
            self._active.discard(relay)
            self._emptied.set()

    async def _read_parts(self, relay: _Relay) -> None:
        try:
            async with contextlib.aclosing(relay.answer.stream) as stream:
                async for part in stream:
                    relay.parts.append(part)
                    relay.size += len(part)
                    relay.wake()
                    if relay.size > MAX_STREAM_BYTES:
                        raise errors.AttemptError('too large to keep', True)
        except Exception as error:
            relay.error = error
