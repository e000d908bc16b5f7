"""Kinds of messages, each with a request and a reply."""

import enum

from radishcourse_wire.gen.peer import ttypes


class MessageKind(enum.Enum):
    """A kind of message with its number, request and reply."""

    PULL = (1, ttypes.Pull, ttypes.PullReply)
    HOLD_BILLS = (2, ttypes.HoldBills, ttypes.HoldBillsReply)
    ACQUIRE_PERMIT = (3, ttypes.AcquirePermit, ttypes.AcquirePermitReply)
    RELEASE_PERMIT = (4, ttypes.ReleasePermit, ttypes.ReleasePermitReply)
    SYNC = (5, ttypes.Sync, ttypes.SyncReply)
    SETTLE_SESSION = (6, ttypes.SettleSession, ttypes.SettleSessionReply)
    PUSH_USAGE = (7, ttypes.PushUsage, ttypes.PushUsageReply)
    REPORT_ROLLOUT = (8, ttypes.RolloutReport, ttypes.ReportRolloutReply)

    @property
    def number(self) -> int:
        """Number that stands for the kind on the wire."""
        return self.value[0]

    @property
    def request(self) -> type:
        """Generated class of the request."""
        return self.value[1]

    @property
    def reply(self) -> type:
        """Generated class of the reply."""
        return self.value[2]


BY_NUMBER = {kind.number: kind for kind in MessageKind}
