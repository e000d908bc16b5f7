"""Filter 10: identifies the organisation that sent the request."""

import hashlib

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
        if not self._configuration.revision:
            raise errors.Refusal(
                errors.RefusalCode.STALE_VIEW,
                'the node has no configuration yet',
                retry_after_s=1,
            )
        header = job.headers.get('authorization', '')
        if not header.lower().startswith(_SCHEME):
            raise _unauthenticated(
                'an authorization header with a bearer key is required'
            )
        key = header[len(_SCHEME) :].strip()
        digest = 'sha256:' + hashlib.sha256(key.encode()).hexdigest()
        organisation_id = self._configuration.keys.get(digest)
        if organisation_id is None:
            raise _unauthenticated('unknown API key')
        config = self._configuration.config
        job.organisation_id = organisation_id
        job.organisation = config.organisations[organisation_id]
        return await proceed(job)


def _unauthenticated(message: str) -> errors.Refusal:
    return errors.Refusal(errors.RefusalCode.UNAUTHENTICATED, message)
