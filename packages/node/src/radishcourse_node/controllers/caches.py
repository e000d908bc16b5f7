"""What this node knows of prompt caches and service times of upstreams."""

import dataclasses
import hashlib

from radishcourse_model import ids
from radishcourse_node import job as jobs
from radishcourse_policy import placement
from radishcourse_policy import prefixes

# Characters of a prompt that make up its prefix; organisations put their
# instructions and documents first.
PREFIX_CHARACTERS = 1024
# Shorter prompts gain nothing from a cache.
MIN_CHARACTERS = 256
# Share of a prompt that a cached prefix is assumed to save.
CACHED_SHARE = 0.8
SERVICE_GAIN = 0.05


class Caches:
    """Completes candidates with what the placement policy weighs."""

    def __init__(self):
        self._prefixes = prefixes.CachedPrefixes()
        self._service: dict[ids.UpstreamId, float] = {}

    def add_estimates(
        self, job: jobs.Job, candidates: list[placement.Candidate]
    ) -> list[placement.Candidate]:
        """Returns candidates with cached shares and service times."""
        for item in candidates:
            if item.cold:
                # It restarted or lost its cache.
                self._prefixes.forget(item.upstream)
        prefix = _prefix(job)
        names = [item.upstream for item in candidates]
        shares = dict.fromkeys(names, 0.0)
        if prefix:
            shares = {
                n: self._prefixes.cached_probability(n, prefix) for n in names
            }
        agreed = (
            prefixes.preferred_upstreams(prefix, names)
            if any(shares.values())
            else ()
        )
        return [
            dataclasses.replace(
                item,
                cached_share=CACHED_SHARE * shares[item.upstream],
                preferred=item.upstream in agreed,
                service_s=self._service.get(
                    item.upstream, placement.DEFAULT_SERVICE_S
                ),
                # A report half a second old counts this node's requests
                # too; their number has hardly changed since.
                in_flight_at_report=item.in_flight,
            )
            for item in candidates
        ]

    def note_sent(self, job: jobs.Job, upstream: ids.UpstreamId) -> None:
        """Takes note of a prompt that was sent to an upstream."""
        prefix = _prefix(job)
        if prefix:
            self._prefixes.note_sent(upstream, prefix)

    def note_service(self, upstream: ids.UpstreamId, seconds: float) -> None:
        """Takes note of the time of an attempt."""
        known = self._service.get(upstream, seconds)
        self._service[upstream] = known + SERVICE_GAIN * (seconds - known)


def _prefix(job: jobs.Job) -> str:
    if job.chat is None:
        return ''
    text = job.chat.messages[0].content[:PREFIX_CHARACTERS]
    if len(text) < MIN_CHARACTERS:
        return ''
    named = f'{job.organisation_id}\0{text}'.encode()
    return hashlib.blake2b(named, digest_size=8).hexdigest()
