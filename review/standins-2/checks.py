"""What requesters may not see."""

import fleet as fleets
import worker


def truncated_bodies(answers: list[fleets.Answer], pieces: int) -> list[str]:
    """Returns the successes whose body is not the worker's whole body."""
    found = []
    for answer in answers:
        whole = b''.join(
            worker.piece(answer.request, number)
            for number in range(1, pieces + 1)
        )
        if _is_success(answer) and answer.body != whole:
            found.append(
                f'{answer.request}: {len(answer.body)} of {len(whole)} bytes '
                'as a whole answer'
            )
    return found


def truncated_streams(answers: list[fleets.Answer], events: int) -> list[str]:
    """Returns the streams that end as complete before their last event."""
    found = []
    for answer in answers:
        whole = b''.join(
            worker.event(answer.request, number)
            for number in range(1, events + 1)
        )
        if _is_success(answer) and answer.body != whole:
            got = answer.body.count(b'\n\n')
            found.append(
                f'{answer.request}: {got} of {events} events as a complete '
                'stream'
            )
    return found


def _is_success(answer: fleets.Answer) -> bool:
    return 200 <= answer.status < 300 and answer.whole
