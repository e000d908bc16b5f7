"""The check made immediately before a job's first byte to an upstream.

Cascade steps, retries, resumed streams and queued jobs are new work too, so
each attempt is checked against the revision in force at that moment.
"""

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_model import states
from radishcourse_node import engines
from radishcourse_node import errors
from radishcourse_node import job as jobs


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

    def make_trace(
        self, job: jobs.Job, facts: jobs.Facts, reservation_trace=None
    ):
        """Returns a trace callback that checks a request before it is sent.

        httpcore calls it with the name of each of its trace events. Between
        `check_view` and the first byte a connection may be opened and the
        process may be paused, and the chosen upstream or version may have
        been withdrawn by the end of the pause. From the first byte on, the
        job must not be reported as not run.

        Args:
          job: The job.
          facts: The chosen upstream and, for a model job, the chosen model
            and version.
          reservation_trace: Trace callback of the reservation, called first.
        """

        async def trace(name: str) -> None:
            if reservation_trace is not None:
                await reservation_trace(name)
            if name.endswith(engines.SEND_STARTED):
                self.check_view(job)
                self._check_choice(job, facts)
                job.sent = True

        return trace

    def _check_choice(self, job: jobs.Job, facts: jobs.Facts) -> None:
        version_allowed = not facts.version or self.allows_version(
            job, facts.model, facts.version
        )
        if not version_allowed or not self.allows_upstream(job, facts.upstream):
            raise errors.AttemptError(
                f'{facts.model}/{facts.version} on {facts.upstream} is no'
                ' longer allowed',
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

    def allows_upstream(
        self, job: jobs.Job, upstream_id: ids.UpstreamId
    ) -> bool:
        """Tells whether an upstream may receive a job now.

        One that does not answer probes may lose the answer as well, so it gets
        only jobs that may be retried then.
        """
        config = self._configuration.config
        upstream = config.upstreams.get(upstream_id)
        if upstream is None or upstream.leaving:
            return False
        zone = config.zones.get(upstream.zone)
        if zone is not None and zone.state is states.ZoneState.OUT:
            return False
        return self._upstreams.availability.may_use(
            upstream_id, silent=job.safe_to_retry
        )


def _find_version(
    config: schema.Config, model: ids.ModelId, version: ids.VersionId
) -> schema.Version | None:
    configured = config.models.get(model)
    return configured.versions.get(version) if configured else None
