"""Client of the platform's lagging list of VMs."""

import enum

import msgspec

from radishcourse_platform import errors
from radishcourse_platform import http


class VmRole(enum.Enum):
    """What a VM is for."""

    ENTRY = 'entry'
    UPSTREAM = 'upstream'


class VmState(enum.Enum):
    """State of a VM, as late as the list tells it."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Vm(msgspec.Struct, frozen=True):
    """A VM; `address` is the IP address and port it is reached by.

    For an entry VM this is the address of the node's peer protocol, and
    `http` is its address for callers.
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
        """Returns the list, some seconds behind the truth.

        Raises:
          Unavailable, ResponseLost: The platform did not answer.
        """
        response = await self._client.call('GET', '/v1/vms')
        if response.status != 200:
            raise errors.UnexpectedResponse(
                f'unexpected status {response.status}'
            )
        try:
            return msgspec.json.decode(response.body, type=_Vms).vms
        except msgspec.MsgspecError as error:
            raise errors.UnexpectedResponse(
                f'malformed answer: {error}'
            ) from error
