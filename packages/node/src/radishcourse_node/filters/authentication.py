"""Filter 10: identifies the organisation that sent the request."""

import hashlib

from radishcourse_model import ids
from radishcourse_node import errors
from radishcourse_node import filters
from radishcourse_node import job as jobs

_SCHEME = 'bearer '


@filters.register(10)
class Authentication:
    """Finds the organisation by the hash of its API key."""

    def __init__(self, node):
        self._configuration = node.configuration

    async def handle(self, job: jobs.Job, proceed) -> jobs.Answer:
        """Refuses requests without a known key.

        A node that has no configuration yet knows no keys, so it answers
        `stale_view` instead of blaming the caller.
        """
        organisation_id = identify(self._configuration, job.headers)
        config = self._configuration.config
        job.organisation_id = organisation_id
        job.organisation = config.organisations[organisation_id]
        return await proceed(job)


def identify(configuration, headers: dict[str, str]) -> ids.OrganisationId:
    """Returns the organisation whose key a request carries.

    Args:
      configuration: The configuration in force.
      headers: Headers of the request by lower-case name.

    Raises:
      Refusal: The key is missing or unknown, or no configuration is in force.
    """
    if not configuration.revision:
        raise errors.Refusal(
            errors.RefusalCode.STALE_VIEW,
            'the node has no configuration yet',
            retry_after_s=1,
        )
    header = headers.get('authorization', '')
    if not header.lower().startswith(_SCHEME):
        raise _unauthenticated(
            'an authorization header with a bearer key is required'
        )
    key = header[len(_SCHEME) :].strip()
    digest = 'sha256:' + hashlib.sha256(key.encode()).hexdigest()
    organisation_id = configuration.keys.get(digest)
    if organisation_id is None:
        raise _unauthenticated('unknown API key')
    return organisation_id


def _unauthenticated(message: str) -> errors.Refusal:
    return errors.Refusal(errors.RefusalCode.UNAUTHENTICATED, message)
