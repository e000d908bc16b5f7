"""Filter 40: sessions, which are pinned to a model version."""

from radishcourse_node import errors
from radishcourse_node import filters
from radishcourse_node import job as jobs
from radishcourse_node import sessions
from radishcourse_node import tokens

HEADER = 'x-radish-session'
MOVED_HEADER = 'x-radish-session-moved'
NEW = 'new'


@filters.register(40)
class Session:
    """Pins a job of a session to the session's model and version."""

    def __init__(self, node):
        self._configuration = node.configuration

    async def handle(self, job: jobs.Job, proceed) -> jobs.Answer:
        """Refuses forged tokens and sessions of withdrawn versions."""
        text = job.headers.get(HEADER)
        if text is None or job.job_type is not jobs.JobType.MODEL:
            return await proceed(job)
        if text == NEW:
            job.opens_session = True
        else:
            self._pin(job, text)
        # Checked before the run, so that no answer is lost because its token
        # can't be signed.
        keys = self._configuration.config.session_keys
        if job.opens_session:
            _check_signing_key(keys)
        answer = await proceed(job)
        if job.opens_session:
            answer.headers[HEADER] = _make_token(job, answer.facts, keys)
        if job.withdrawn_session is not None:
            withdrawn = job.withdrawn_session
            answer.headers[MOVED_HEADER] = (
                f'{withdrawn.model}/{withdrawn.version}'
            )
        return answer

    def _pin(self, job: jobs.Job, text: str) -> None:
        keys = self._configuration.config.session_keys
        try:
            session = tokens.verify(text, keys)
        except tokens.TokenError as error:
            raise _invalid_session(str(error)) from error
        if session.organisation != job.organisation_id:
            raise _invalid_session(
                'the session belongs to another organisation'
            )
        job.session = session
        sessions.check(job, self._configuration.config)
        if job.session is not None:
            job.steps = [session.model]


def _check_signing_key(keys: tokens.Keys) -> None:
    try:
        tokens.find_signing_key(keys)
    except tokens.TokenError as error:
        raise _invalid_session(str(error)) from error


def _make_token(job: jobs.Job, facts: jobs.Facts, keys: tokens.Keys) -> str:
    session = jobs.Session(
        tokens.new_session_id(),
        job.organisation_id,
        facts.model,
        facts.version,
    )
    return tokens.sign(session, keys)


def _invalid_session(message: str) -> errors.Refusal:
    return errors.Refusal(errors.RefusalCode.SESSION_INVALID, message)
