"""What upstreams say of themselves in their answers: leaving, pauses."""

from radishcourse_gateway import headernames
from radishcourse_gateway import upstreamconnections
from radishcourse_gateway import view as views
from radishcourse_node import events
from radishcourse_policy import retryafter

_LEAVING = b'1'
_UNAVAILABLE = 503


class Announcements:
    """Records what upstreams announce, which holds for as long as they run.

    Args:
      gateway: Provides the view and the header names.
    """

    def __init__(self, gateway):
        self._view: views.View = gateway.view
        self._header_names: headernames.HeaderNames = gateway.header_names

    def note_answer(
        self, listed: views.ListedUpstream, head: upstreamconnections.Head
    ) -> None:
        """Records what the head of an upstream's answer says.

        Args:
          listed: The upstream.
          head: The head of its answer, of whatever status.
        """
        if head.get(self._header_names.leaving) == _LEAVING:
            self._view.note_leaving(listed)
        value = head.get(b'retry-after')
        if head.status != _UNAVAILABLE or value is None:
            return
        seconds = retryafter.parse(value)
        if seconds is not None:
            self._view.pause(listed, seconds)
        events.log(
            events.Event.UPSTREAM_PAUSED,
            upstream=listed.upstream.upstream_id,
            seconds=seconds,
            value=value[:64].decode('latin-1'),
        )
