"""Requests that may run once at most, on routes that choose the model."""

import collections

import rig as rigs

MODELS = ('m0', 'm1', 'm2')
ENGINE = {
    'slots': 64,
    'kvCapacity': 444000,
    'models': [
        {'name': 'm0', 'cost': 0.026},
        {'name': 'm1', 'cost': 0.19},
        {'name': 'm2', 'cost': 0.39},
    ],
}
# A request that is too hard for the smallest model, and one that is not.
LOW_CONFIDENCE = 5
HIGH_CONFIDENCE = 95
CALLS = 6


def run(rig: rigs.Rig, trouble: bool) -> int:
    """Returns how many requests ran more than once."""
    rig.configure(
        [
            rigs.route(
                'r1',
                '/quote/',
                'stream',
                'assistant',
                sizes=MODELS,
                affinity=True,
                streamResume=False,
                gapTargetMs=1000,
                maxAttempts=3,
            ),
            rigs.route(
                'r2',
                '/order/',
                'non_idempotent',
                'assistant',
                sizes=MODELS,
                maxAttempts=3,
            ),
        ],
        [rigs.service('assistant', engine=ENGINE)],
    )
    confidence = LOW_CONFIDENCE if trouble else HIGH_CONFIDENCE
    for name in ('i-llm-1', 'i-llm-2'):
        rig.start_worker(
            name,
            'assistant',
            pieces=20,
            piece_bytes=75,
            gap_s=0.02,
            framing='chunked',
            stream=True,
            engine=True,
            confidence={
                'm0': confidence,
                'm1': HIGH_CONFIDENCE,
                'm2': HIGH_CONFIDENCE,
            },
        )
    rig.start_gateways(2)
    for prefix in ('/quote/', '/order/'):
        rig.wait_served(rig.gateways[0], 'POST', f'{prefix}warm')
    answers = {}
    for number in range(CALLS):
        for prefix in ('/quote/', '/order/'):
            name = f'{prefix.strip("/")}-{number}'
            answers[name] = rig.call(
                rig.gateways[0],
                name,
                'POST',
                f'{prefix}{number}',
                b'x' * 1700,
                headers={
                    'X-Model': '*',
                    'X-Token-Count': '600,180',
                    'X-Prompt-Prefix': f'5c1e07a2:100,{number:08x}:500',
                },
            )
    runs = collections.defaultdict(list)
    for item in rig.runs():
        runs[item['request']].append(f'{item["worker"]} as {item["model"]}')
    for name, answer in answers.items():
        is_broken = len(runs[name]) > 1
        rig.note(
            f'{name}: status {answer.status}, run by {runs[name]} '
            f'{"BROKEN" if is_broken else ""}'
        )
    return sum(len(runs[name]) > 1 for name in answers)


if __name__ == '__main__':
    rigs.main(__file__, run)
