"""Filter 20: parses the request, its kind and its deadline."""

import msgspec

from radishcourse_model import ids
from radishcourse_node import errors
from radishcourse_node import filters
from radishcourse_node import job as jobs

CHAT_PATH = '/v1/chat/completions'
SERVICE_PREFIX = '/v1/services/'
MAX_DEADLINE_MS = 3_600_000
MAX_KEY_LENGTH = 200
_SAFE_METHODS = ('GET', 'HEAD')
_chat_decoder = msgspec.json.Decoder(jobs.ChatRequest)


@filters.register(20)
class Parsing:
    """Decodes model jobs and service calls."""

    def __init__(self, node):
        self._configuration = node.configuration

    async def handle(self, job: jobs.Job, proceed) -> jobs.Answer:
        """Refuses malformed requests."""
        job.idempotency_key = _read_idempotency_key(job)
        if job.path == CHAT_PATH:
            self._parse_chat(job)
        elif job.path.startswith(SERVICE_PREFIX):
            self._parse_call(job)
        else:
            check_path(job.path)
        return await proceed(job)

    def _parse_chat(self, job: jobs.Job) -> None:
        if job.method != 'POST':
            raise _bad_request('this path takes POST')
        try:
            job.chat = _chat_decoder.decode(job.body)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise _bad_request(f'malformed body: {error}') from error
        job.job_type = jobs.JobType.MODEL
        kinds = job.organisation.kinds
        kind_id = job.headers.get('x-radish-kind') or next(iter(kinds), '')
        if kind_id not in kinds:
            raise _bad_request(f'kind {kind_id!r} is not configured')
        job.kind_id = ids.KindId(kind_id)
        job.kind = _override_quality(kinds[kind_id], job)
        job.deadline = job.arrived_at + _read_deadline_s(
            job, job.kind.deadline_ms
        )

    def _parse_call(self, job: jobs.Job) -> None:
        rest = job.path[len(SERVICE_PREFIX) :]
        name, slash, path = rest.partition('/')
        service = self._configuration.config.services.get(name)
        if service is None or name not in job.organisation.services:
            raise errors.Refusal(
                errors.RefusalCode.MODEL_NOT_ALLOWED,
                f'service {name!r} is not allowed',
            )
        path = slash + path or '/'
        job.job_type = jobs.JobType.SERVICE
        job.kind_id = ids.KindId(name)
        job.call = jobs.ServiceCall(
            service=ids.ServiceId(name),
            path=path,
            query=job.query,
            idempotent=_is_idempotent(service, job.method, path),
        )
        job.deadline = job.arrived_at + _read_deadline_s(
            job, service.deadline_ms
        )


def check_path(path: str) -> None:
    """Refuses paths at which nothing is served.

    Raises:
      Refusal: The path is unknown.
    """
    if path != CHAT_PATH and not path.startswith(SERVICE_PREFIX):
        raise errors.Refusal(
            errors.RefusalCode.NOT_FOUND, f'no such path: {path}'
        )


def _is_idempotent(service, method: str, path: str) -> bool:
    for route in service.routes:
        if route.method == method and route.path == path:
            return route.idempotent
    return method in _SAFE_METHODS


def _override_quality(kind, job: jobs.Job):
    text = job.headers.get('x-radish-quality')
    if text is None:
        return kind
    try:
        quality = float(text)
    except ValueError:
        quality = -1.0
    if not 0 <= quality <= 1:
        raise _bad_request('x-radish-quality must be a number from 0 to 1')
    return msgspec.structs.replace(kind, quality_target=quality)


def _read_deadline_s(job: jobs.Job, default_ms: int) -> float:
    text = job.headers.get('x-radish-deadline-ms')
    if text is None:
        return default_ms / 1000
    if not (text.isascii() and text.isdigit()) or len(text) > 8:
        raise _bad_request(
            'x-radish-deadline-ms must be a whole number of milliseconds'
        )
    if int(text) == 0:
        raise errors.Refusal(
            errors.RefusalCode.DEADLINE_EXPIRED, 'the deadline has passed'
        )
    return min(int(text), MAX_DEADLINE_MS) / 1000


def _read_idempotency_key(job: jobs.Job) -> ids.IdempotencyKey | None:
    key = job.headers.get('idempotency-key')
    if key is None:
        return None
    if not key or len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise _bad_request(
            f'idempotency-key must have 1 to {MAX_KEY_LENGTH} printable '
            'characters'
        )
    return ids.IdempotencyKey(key)


def _bad_request(message: str) -> errors.Refusal:
    return errors.Refusal(errors.RefusalCode.BAD_REQUEST, message)
