"""Refuses or moves sessions whose model version was withdrawn."""

from radishcourse_model import schema
from radishcourse_model import states
from radishcourse_node import errors
from radishcourse_node import job as jobs


def check(job: jobs.Job, config: schema.Config) -> None:
    """Takes a job out of its session if the session's version is withdrawn.

    Called when the job arrives and again at each attempt, because the
    version can be withdrawn in between.

    Raises:
      Refusal: The organisation is configured to refuse such jobs.
    """
    session = job.session
    if session is None or not _is_withdrawn(session, config):
        return
    if job.organisation.on_withdrawn is states.WithdrawnAction.REFUSE:
        raise errors.Refusal(
            errors.RefusalCode.SESSION_VERSION_WITHDRAWN,
            f'{session.model}/{session.version} is withdrawn; '
            'open a new session',
        )
    job.session = None
    job.withdrawn_session = session
    job.opens_session = True


def _is_withdrawn(session: jobs.Session, config: schema.Config) -> bool:
    model = config.models.get(session.model)
    version = model and model.versions.get(session.version)
    return not version or version.state is states.VersionState.WITHDRAWN
