"""Claimed streams, read to their end even if the caller disconnects."""

import contextlib
import dataclasses
import typing

import anyio

from radishcourse_node import errors
from radishcourse_node import job as jobs

# A claimed stream is buffered whole in memory until its outcome is stored.
MAX_STREAM_BYTES = 16 * 2**20
MAX_TOTAL_BYTES = 64 * 2**20

RunJob = typing.Callable[[], typing.Awaitable[jobs.Answer]]
OnEnd = typing.Callable[[jobs.Answer, bytes | None], typing.Awaitable[None]]


class _Relay:
    """A claimed stream and the parts of it that were read so far."""

    def __init__(self, run_job: RunJob, on_end: OnEnd):
        self.run_job = run_job
        self.on_end = on_end
        self.answer: jobs.Answer | None = None
        self.answered = anyio.Event()
        self.parts: list[bytes] = []
        self.size = 0
        self.error: Exception | None = None
        self.done = False
        self.changed = anyio.Event()

    def notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def read(self):
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
        self._relay_ended = anyio.Event()

    def check_room(self, job: jobs.Job) -> None:
        """Refuses a streamed job while the buffers are full.

        Raises:
          Refusal: The buffers are full, or the node is not running.
        """
        held = sum(relay.size for relay in self._active)
        if job.streamed and (held >= MAX_TOTAL_BYTES or self._tasks is None):
            raise errors.Refusal(
                errors.RefusalCode.OVERLOADED,
                'too many streams with an idempotency key are in progress',
                retry_after_s=1,
            )

    async def run(self) -> None:
        """Runs the tasks that read the streams until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await anyio.sleep_forever()
            finally:
                self._tasks = None

    async def start(self, run_job: RunJob, on_end: OnEnd) -> jobs.Answer:
        """Runs a streamed job that continues if the caller disconnects.

        The job starts and ends in one background task, since the contexts that
        it enters must be exited by the same task.

        Args:
          run_job: Runs the job.
          on_end: Called with the answer and the whole body, or None in its
            place if the stream was interrupted, before the stream of the
            returned answer ends.

        Returns:
          The answer, whose stream may be abandoned.
        """
        relay = _Relay(run_job, on_end)
        self._active.add(relay)
        self._tasks.start_soon(self._run_relay, relay)
        await relay.answered.wait()
        if relay.answer is None:
            raise relay.error
        return dataclasses.replace(relay.answer, stream=relay.read())

    async def finish(self) -> None:
        """Waits until no stream is in progress."""
        while self._active:
            self._relay_ended = anyio.Event()
            await self._relay_ended.wait()

    async def _run_relay(self, relay: _Relay) -> None:
        try:
            relay.answer = await relay.run_job()
            relay.answered.set()
            await self._read_parts(relay)
            whole = None if relay.error else b''.join(relay.parts)
            await relay.on_end(relay.answer, whole)
        except Exception as error:
            relay.error = relay.error or error
        finally:
            relay.done = True
            relay.answered.set()
            relay.notify()
            self._active.discard(relay)
            self._relay_ended.set()

    async def _read_parts(self, relay: _Relay) -> None:
        try:
            async with contextlib.aclosing(relay.answer.stream) as stream:
                async for part in stream:
                    relay.parts.append(part)
                    relay.size += len(part)
                    relay.notify()
                    if relay.size > MAX_STREAM_BYTES:
                        raise errors.AttemptError(
                            'stream exceeds the size that can be stored', True
                        )
        except Exception as error:
            relay.error = error
