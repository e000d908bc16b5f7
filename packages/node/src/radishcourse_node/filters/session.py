"""Filter 40: sessions and the versions that they keep."""

from radishcourse_model import states

from radishcourse_node import errors
from radishcourse_node import filters
from radishcourse_node import job as jobs
from radishcourse_node import tokens

HEADER = 'x-radish-session'
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
        answer = await proceed(job)
        if job.opens_session:
            answer.headers[HEADER] = self._open(job, answer.facts)
        return answer

    def _pin(self, job: jobs.Job, text: str) -> None:
        keys = self._configuration.config.session_keys
        try:
            session = tokens.verify(text, keys)
        except tokens.TokenError as error:
            raise _invalid(str(error)) from error
        if session.organisation != job.organisation_id:
            raise _invalid('the session belongs to another organisation')
        if self._is_withdrawn(session):
            self._leave(job, session)
            return
        job.session = session
        job.steps = [session.model]

    def _is_withdrawn(self, session: jobs.Session) -> bool:
        model = self._configuration.config.models.get(session.model)
        version = model and model.versions.get(session.version)
        return not version or version.state is states.VersionState.WITHDRAWN

    def _leave(self, job: jobs.Job, session: jobs.Session) -> None:
        if job.organisation.on_withdrawn is states.WithdrawnAction.REFUSE:
            raise withdrawn(session)
        job.opens_session = True
        job.session_moved = True

    def _open(self, job: jobs.Job, facts: jobs.Facts) -> str:
        session = jobs.Session(
            tokens.new_session_id(),
            job.organisation_id,
            facts.model,
            facts.version,
        )
        keys = self._configuration.config.session_keys
        return tokens.sign(session, keys)


def withdrawn(session: jobs.Session) -> errors.Refusal:
    """Returns the refusal of a session whose version is withdrawn."""
    return errors.Refusal(
        errors.RefusalCode.SESSION_VERSION_WITHDRAWN,
        f'{session.model}/{session.version} is withdrawn; open a new session',
    )


def _invalid(message: str) -> errors.Refusal:
    return errors.Refusal(errors.RefusalCode.SESSION_INVALID, message)
