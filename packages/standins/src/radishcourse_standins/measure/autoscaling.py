"""Compares ways to choose the number of a service's workers.

The policy is compared with fixed numbers, with a plain target utilisation that
follows the reported work at once, and with hindsight: the best of the numbers
that follow from the work of the same load when no request waits, and of the
fixed ones.
"""

import math
import typing

from radishcourse_model import ids
from radishcourse_policy import autoscaling
from radishcourse_policy import workload
from radishcourse_standins.measure import report
from radishcourse_standins.measure import scalingworld

SEEDS = 5
# Changes of direction within this time count as flapping.
REVERSAL_S = 20.0
PLAIN_SHARE = 0.7
# Hindsight tries these shares of the slots.
HINDSIGHT_SHARES = (0.5, 0.7, 0.9)

_A, _B, _C, _D = scalingworld.ZONES
_Phase = scalingworld.Phase
# Four bursts of 4 to 6 s.
_BURSTS = tuple(
    _Phase(begin, begin + length, amount=factor)
    for begin, length, factor in (
        (20, 4, 1.8),
        (41, 6, 1.6),
        (58, 5, 2.2),
        (76, 4, 1.4),
    )
)
PATTERNS = {
    'steady': scalingworld.Pattern(),
    'waves': scalingworld.Pattern(swing=0.55),
    'bursts': scalingworld.Pattern(loads=_BURSTS),
    'rise': scalingworld.Pattern(loads=(_Phase(30, 90, amount=1.8),)),
    'lull': scalingworld.Pattern(loads=(_Phase(30, 90, amount=0.5),)),
    'lost zone': scalingworld.Pattern(lost=(_Phase(30, 55, _B),)),
    'crashes': scalingworld.Pattern(
        crashes=(
            _Phase(20, 23, _A, 0.35),
            _Phase(40, 45, None, 0.33),
            _Phase(65, 69, _C, 0.5),
        )
    ),
    'roll-out': scalingworld.Pattern(
        swing=0.3, rolling=(_Phase(20, 44),), loads=(_Phase(35, 40, None, 1.6),)
    ),
    'evacuation': scalingworld.Pattern(evacuated=(_Phase(30, 60, _D),)),
    'heavy waves': scalingworld.Pattern(load=0.9, swing=0.4, loads=_BURSTS),
    'half cut off': scalingworld.Pattern(
        swing=0.3, cut_off=(_Phase(20, 70, amount=0.5),)
    ),
    'mixed': scalingworld.Pattern(
        load=0.55,
        swing=0.4,
        loads=(*_BURSTS, _Phase(60, 90, amount=1.3)),
        crashes=(_Phase(24, 28, _A, 0.33),),
        evacuated=(_Phase(45, 65, _C),),
        rolling=(_Phase(5, 29),),
    ),
}


def fixed(count: int | None) -> scalingworld.Policy:
    """Returns a policy that keeps a number, or the one of the start."""

    def decide(snapshot, now):
        del snapshot, now
        if count is None:
            return {}
        return dict.fromkeys(scalingworld.ZONES, count)

    return decide


def chosen() -> scalingworld.Policy:
    """Returns the gateway's policy."""
    scaler = autoscaling.Scaler(
        autoscaling.Limits(
            scalingworld.MIN_WORKERS,
            scalingworld.MAX_WORKERS,
            scalingworld.BOOT_S,
        )
    )

    def decide(snapshot, now):
        return {
            zone: decision.count
            for zone, decision in scaler.decide(snapshot, now).items()
            if decision.count is not None
        }

    return decide


def plain() -> scalingworld.Policy:
    """Returns a policy that follows the reported work at once."""

    def decide(snapshot, now):
        del now
        if not snapshot.fresh_reports:
            return {}
        loads = workload.measure(snapshot, scalingworld.ZONES)
        return {
            zone: _clamp(load.work / (scalingworld.SLOTS * PLAIN_SHARE))
            for zone, load in loads.items()
        }

    return decide


def _hindsight(
    demand: list[dict[ids.ZoneId, int]], share: float
) -> scalingworld.Policy:
    def decide(snapshot, now):
        del snapshot
        begin = int(now)
        ahead = demand[begin : begin + int(scalingworld.BOOT_S) + 3]
        return {
            zone: _clamp(
                max(work[zone] for work in ahead) / (scalingworld.SLOTS * share)
            )
            for zone in scalingworld.ZONES
        }

    return decide


def _clamp(count: float) -> int:
    return max(
        scalingworld.MIN_WORKERS,
        min(scalingworld.MAX_WORKERS, math.ceil(count)),
    )


POLICIES: dict[str, typing.Callable[[], scalingworld.Policy]] = {
    'fixed, start': lambda: fixed(None),
    'fixed, least': lambda: fixed(scalingworld.MIN_WORKERS),
    'fixed, most': lambda: fixed(scalingworld.MAX_WORKERS),
    'plain target': plain,
    'chosen': chosen,
}

FIXED_POLICIES = ('fixed, start', 'fixed, least', 'fixed, most')


def run(policy: str, pattern: str, seed: int) -> scalingworld.Result:
    """Runs one policy of POLICIES on one pattern of PATTERNS."""
    return scalingworld.World(PATTERNS[pattern], POLICIES[policy](), seed).run()


def run_hindsight(
    pattern: str, seed: int, known: list[scalingworld.Result]
) -> scalingworld.Result:
    """Returns the best of numbers that follow from the known work.

    Args:
      pattern: Name of the pattern.
      seed: Seed of the load.
      known: Results of fixed numbers, of which one may be better.
    """
    demand = (
        scalingworld.World(PATTERNS[pattern], fixed(None), seed, unlimited=True)
        .run()
        .demand
    )
    return max(
        [
            *known,
            *(
                scalingworld.World(
                    PATTERNS[pattern], _hindsight(demand, share), seed
                ).run()
                for share in HINDSIGHT_SHARES
            ),
        ],
        key=lambda result: result.net,
    )


def main(seeds: int = SEEDS, folder: str = report.FOLDER) -> None:
    """Measures the number of workers."""
    rows, figures = [], []
    for pattern in PATTERNS:
        results = {
            policy: [run(policy, pattern, seed) for seed in range(seeds)]
            for policy in POLICIES
        }
        fixed_results = zip(
            *(results[policy] for policy in FIXED_POLICIES), strict=True
        )
        results['hindsight'] = [
            run_hindsight(pattern, seed, list(known))
            for seed, known in enumerate(fixed_results)
        ]
        nets = {}
        for policy, of_policy in results.items():
            nets[policy] = sum(result.net for result in of_policy)
            rows += _rows(pattern, policy, of_policy)
        best = max(nets, key=nets.get)
        figures.append(
            f'{pattern}: chosen has {nets["chosen"] / nets["hindsight"]:.4f} '
            f'of the net worth of hindsight; the best is {best} '
            f'({nets[best] / nets["hindsight"]:.4f})'
        )
    report.publish('autoscaling', rows, figures, folder)


def _rows(
    pattern: str, policy: str, results: list[scalingworld.Result]
) -> list[report.Row]:
    measures = {
        'net worth for a request': [
            result.net / result.offered for result in results
        ],
        'worth lost, %': [
            100 * (1 - result.value / result.offered) for result in results
        ],
        'workers, mean': [
            result.worker_s / PATTERNS[pattern].length_s for result in results
        ],
        'reversals': [
            float(result.reversals(REVERSAL_S)) for result in results
        ],
    }
    return [
        report.Row(pattern, policy, measure, values)
        for measure, values in measures.items()
    ]
