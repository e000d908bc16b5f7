"""Estimates of the upstreams' prompt caches and service times."""

import dataclasses
import hashlib

from radishcourse_model import ids
from radishcourse_node import job as jobs
from radishcourse_policy import placement
from radishcourse_policy import prefixes

# Characters at the start of a prompt that identify its prefix; organisations
# put their instructions and documents there.
PREFIX_CHARACTERS = 1024
# Shorter prompts do not benefit from a cache.
MIN_CHARACTERS = 256
# Share of a prompt's processing that a cached prefix is assumed to save.
CACHED_SHARE = 0.8
# Weight of a new service time in the exponential moving average.
SERVICE_TIME_WEIGHT = 0.05


class Caches:
    """Adds cache and service time estimates to placement candidates."""

    def __init__(self):
        self._prefixes = prefixes.CachedPrefixes()
        self._service_times: dict[ids.UpstreamId, float] = {}

    def add_estimates(
        self, job: jobs.Job, candidates: list[placement.Candidate]
    ) -> list[placement.Candidate]:
        """Returns the candidates with cached shares and service times."""
        for item in candidates:
            if item.cold:
                # A cold upstream has restarted or lost its cache.
                self._prefixes.forget(item.upstream)
        prefix = _prefix(job)
        upstreams = [item.upstream for item in candidates]
        shares = dict.fromkeys(upstreams, 0.0)
        if prefix:
            shares = {
                upstream: self._prefixes.cached_probability(upstream, prefix)
                for upstream in upstreams
            }
        preferred = (
            prefixes.preferred_upstreams(prefix, upstreams)
            if any(shares.values())
            else ()
        )
        return [
            dataclasses.replace(
                item,
                cached_share=CACHED_SHARE * shares[item.upstream],
                preferred=item.upstream in preferred,
                service_s=self._service_times.get(
                    item.upstream, placement.DEFAULT_SERVICE_S
                ),
                # The upstream's report, about half a second old, includes this
                # node's requests, whose number has hardly changed since.
                in_flight_at_report=item.in_flight,
            )
            for item in candidates
        ]

    def note_sent(self, job: jobs.Job, upstream: ids.UpstreamId) -> None:
        """Notes that a prompt was sent to an upstream."""
        prefix = _prefix(job)
        if prefix:
            self._prefixes.note_sent(upstream, prefix)

    def note_service(self, upstream: ids.UpstreamId, seconds: float) -> None:
        """Notes the duration of an attempt, in seconds."""
        known = self._service_times.get(upstream, seconds)
        self._service_times[upstream] = known + SERVICE_TIME_WEIGHT * (
            seconds - known
        )


def _prefix(job: jobs.Job) -> str:
    if job.chat is None:
        return ''
    text = job.chat.messages[0].content[:PREFIX_CHARACTERS]
    if len(text) < MIN_CHARACTERS:
        return ''
    scoped = f'{job.organisation_id}\0{text}'.encode()
    return hashlib.blake2b(scoped, digest_size=8).hexdigest()
