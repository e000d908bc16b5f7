"""When upstreams whose probes time out are used all the same.

A probe that times out shows that the upstream is slow, cut off or gone, or that
the prober is at fault. If it is so for most upstreams at once, the prober or
what all have in common is the likelier reason, and to refuse every job would be
worse than to try.

Load pattern: a busy machine, a slow network or a pause of all upstreams, under
which probes time out while most jobs would still succeed.
"""

# Share of the upstreams that must answer their probes; below it those whose
# probes time out are used as well. It is Envoy's default.
PANIC_SHARE = 0.5


def is_panic(answering: int, silent: int) -> bool:
    """Tells whether silent upstreams are to be used.

    Args:
      answering: Number of upstreams that answered their latest probe.
      silent: Number of those whose latest probes timed out. Upstreams that
        refuse connections, leave or are withdrawn count as neither.
    """
    return silent > 0 and answering < PANIC_SHARE * (answering + silent)
