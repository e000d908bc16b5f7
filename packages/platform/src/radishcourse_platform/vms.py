"""Client of the platform's list of VMs, which lags by some seconds."""

import enum

import msgspec

from radishcourse_model import decoding
from radishcourse_platform import errors
from radishcourse_platform import http


class VmRole(enum.Enum):
    """What runs on a VM: a node (`ENTRY`) or an upstream."""

    ENTRY = 'entry'
    UPSTREAM = 'upstream'


class VmState(enum.Enum):
    """State of a VM as listed, some seconds late."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Vm(msgspec.Struct, frozen=True):
    """A VM.

    Attributes:
      vm: The VM's name.
      address: IP address and port; on an entry VM those of the node's peer
        protocol.
      zone: The VM's availability zone.
      role: What runs on it.
      state: Whether it is about to be removed.
      http: Address for callers of an entry VM's node; else empty.
    """

    vm: str
    address: str
    zone: str
    role: VmRole
    state: VmState = VmState.LIVE
    http: str = ''


class _Vms(msgspec.Struct):
    vms: list[Vm]


class VmList:
    """Reads the list of VMs."""

    def __init__(self, client: http.Client):
        self._client = client

    async def read(self) -> list[Vm]:
        """Returns the list, which may be some seconds old.

        Raises:
          Unavailable, ResponseLost: The platform did not respond.
        """
        response = await self._client.call('GET', '/v1/vms')
        if response.status != 200:
            raise errors.UnexpectedResponse(
                f'unexpected status {response.status}'
            )
        try:
            return msgspec.json.decode(response.body, type=_Vms).vms
        except decoding.ERRORS as error:
            raise errors.UnexpectedResponse(
                f'malformed response: {error}'
            ) from error
