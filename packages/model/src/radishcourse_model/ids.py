"""Types of identifiers, version counters and keys."""

import typing

OrganisationId = typing.NewType('OrganisationId', str)
ModelId = typing.NewType('ModelId', str)
VersionId = typing.NewType('VersionId', str)
CascadeId = typing.NewType('CascadeId', str)
KindId = typing.NewType('KindId', str)
ZoneId = typing.NewType('ZoneId', str)
UpstreamId = typing.NewType('UpstreamId', str)
ServiceId = typing.NewType('ServiceId', str)
RolloutId = typing.NewType('RolloutId', str)
KeyId = typing.NewType('KeyId', str)
NodeId = typing.NewType('NodeId', str)
# One run of a node process: the node id and a random part chosen at start.
Incarnation = typing.NewType('Incarnation', str)
RequestId = typing.NewType('RequestId', str)
IdempotencyKey = typing.NewType('IdempotencyKey', str)
SessionId = typing.NewType('SessionId', str)
Revision = typing.NewType('Revision', int)
WriteId = typing.NewType('WriteId', str)
LeaseName = typing.NewType('LeaseName', str)
Epoch = typing.NewType('Epoch', int)
# Digest of a service and the id of a part of a prompt.
PartId = typing.NewType('PartId', int)
# Digest of one run of an upstream that ended.
CrashId = typing.NewType('CrashId', int)
