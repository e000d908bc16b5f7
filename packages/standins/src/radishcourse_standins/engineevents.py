"""Events of the engine stand-in's streams."""

import msgspec

from radishcourse_standins import enginesettings


async def apply_disorder(events, disorder: enginesettings.Disorder):
    """Yields the events of a stream, disordered as the settings say."""
    held = b''
    async for event in events:
        if disorder is enginesettings.Disorder.DUPLICATE:
            yield event * 2
        elif disorder is enginesettings.Disorder.FOREIGN:
            yield event.replace(b'"request_id":"', b'"request_id":"x') + event
        elif disorder is enginesettings.Disorder.CRLF:
            yield b': comment\r\n\r\n' + event.replace(b'\n', b'\r\n')
        elif disorder is enginesettings.Disorder.REORDER and not held:
            held = event
        else:
            yield event + held
            held = b''
    if held:
        yield held


def encode(job, index, delta, finish_reason, **usage) -> bytes:
    """Returns one event.

    Args:
      job: The request.
      index: Number of the token.
      delta: What the event adds to the answer.
      finish_reason: Why the answer ends with it, None if it goes on.
      usage: Counts of tokens by name.
    """
    event = {
        'request_id': job.request_id,
        'model': job.model,
        'version': job.version,
        'index': index,
        'choices': [
            {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
        ],
    }
    if usage:
        event['usage'] = usage
    return b'data: ' + msgspec.json.encode(event) + b'\n\n'
