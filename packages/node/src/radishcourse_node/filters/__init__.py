"""The filter chain that each request passes through.

Each module of this package registers one filter with its position in the
chain. A filter inspects a job, may refuse it, and calls `proceed` to run the
rest of the chain.
"""

import importlib
import typing

from radishcourse_node import job as jobs

Proceed = typing.Callable[[jobs.Job], typing.Awaitable[jobs.Answer]]


class Filter(typing.Protocol):
    """One element of the chain."""

    async def handle(self, job: jobs.Job, proceed: Proceed) -> jobs.Answer:
        """Returns the answer to a job, usually that of `proceed`.

        Raises:
          Refusal: The job is refused.
        """


_MODULES = (
    'authentication',
    'outcome',
    'parsing',
    'permission',
    'session',
    'admission',
    'claim',
    'billing',
    'run',
)
_registry: dict[int, type] = {}


def register(order: int):
    """Returns a decorator that registers a filter class.

    Args:
      order: Position in the chain; lower numbers run first. The class is
        constructed with the node.
    """

    def add(filter_class: type) -> type:
        _registry[order] = filter_class
        return filter_class

    return add


def build(node) -> Proceed:
    """Returns the chain of all registered filters for a node."""
    for name in _MODULES:
        importlib.import_module(f'{__name__}.{name}')
    chain: Proceed = _end
    for order in sorted(_registry, reverse=True):
        chain = _link(_registry[order](node), chain)
    return chain


def _link(handler: Filter, next_handler: Proceed) -> Proceed:
    async def call(job: jobs.Job) -> jobs.Answer:
        return await handler.handle(job, next_handler)

    return call


async def _end(job: jobs.Job) -> jobs.Answer:
    raise AssertionError(f'no filter answered {job.request_id}')
