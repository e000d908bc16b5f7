"""The check made immediately before a job's first byte to an upstream.

Cascade steps, retries, resumed streams and queued jobs are new work too,
so each attempt passes here, against the revision in force at that moment.
"""

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_model import states
from radishcourse_node import engines
from radishcourse_node import errors
from radishcourse_node import job as jobs

# The step of httpcore after which the first byte is written.


class Guard:
    """Tells whether new work may start on an upstream now."""

    def __init__(self, node):
        self._configuration = node.configuration
        self._freshness = node.freshness
        self._upstreams = node.upstreams
        self._clock = node.environment.clock

    def check_view(self, job: jobs.Job) -> None:
        """Refuses when the view is stale or the deadline has passed.

        Raises:
          Refusal: New work may not start.
        """
        if not self._freshness.may_start():
            raise errors.Refusal(
                errors.RefusalCode.STALE_VIEW,
                'the configuration could not be confirmed',
                retry_after_s=1,
            )
        if self._clock.now() >= job.deadline:
            raise errors.Refusal(
                errors.RefusalCode.DEADLINE_EXPIRED, 'the deadline has passed'
            )

    def before_bytes(self, job: jobs.Job, facts: jobs.Facts, check=None):
        """Returns a check for each step of a request in httpcore.

        Between the last look at the view and the first byte a connection
        may be opened, and the process may be paused; what was chosen before
        a pause may be withdrawn when it ends. From the first byte on "not
        run" is no longer said of the job.

        Args:
          job: The job.
          facts: What was chosen: the upstream, and for a model job the
            model and the version.
          check: A check of the reservation to be made as well.
        """

        async def trace(name: str) -> None:
            if check is not None:
                await check(name)
            if name.endswith(engines.SEND_STARTED):
                self.check_view(job)
                self._check_choice(job, facts)
                job.sent = True

        return trace

    def _check_choice(self, job: jobs.Job, facts: jobs.Facts) -> None:
        version_allowed = not facts.version or self.allows_version(
            job, facts.model, facts.version
        )
        if not version_allowed or not self.allows_upstream(facts.upstream):
            raise errors.AttemptError(
                f'{facts.model}/{facts.version} on {facts.upstream} is not'
                ' allowed any more',
                sent=False,
            )

    def allows_version(
        self, job: jobs.Job, model: ids.ModelId, version: ids.VersionId
    ) -> bool:
        """Tells whether the job may run on a version now."""
        config = self._configuration.config
        organisation = config.organisations.get(job.organisation_id)
        configured = _find_version(config, model, version)
        return (
            organisation is not None
            and configured is not None
            and configured.state is not states.VersionState.WITHDRAWN
            and organisation.allows(model, version)
        )

    def allows_upstream(self, upstream_id: ids.UpstreamId) -> bool:
        """Tells whether an upstream may receive new work now."""
        config = self._configuration.config
        upstream = config.upstreams.get(upstream_id)
        if upstream is None or upstream.leaving:
            return False
        zone = config.zones.get(upstream.zone)
        if zone is not None and zone.state is states.ZoneState.OUT:
            return False
        return self._upstreams.state(upstream_id) not in (
            states.UpstreamState.LEAVING,
            states.UpstreamState.DOWN,
        )


def _find_version(
    config: schema.Config, model: ids.ModelId, version: ids.VersionId
) -> schema.Version | None:
    configured = config.models.get(model)
    return configured.versions.get(version) if configured else None
