"""Rules that relate several parts of a configuration.

A rule checks the typed configuration without its faulty parts. References
are looked up in the whole document, so that a faulty entry is not also
reported as missing.
"""

import collections
import dataclasses
import typing

from radishcourse_model import faults
from radishcourse_model import ids
from radishcourse_model import merge
from radishcourse_model import paths
from radishcourse_model import schema
from radishcourse_model import states

Problems = typing.Iterator[faults.Problem]
Rule = typing.Callable[['Subject'], Problems]
REQUIRED_SHARE_SUM_PERCENT = 100

_rules: list[Rule] = []


@dataclasses.dataclass(frozen=True)
class Subject:
    """The configuration that the rules check.

    Attributes:
      config: Configuration without its faulty parts.
      document: Merged document, with its faulty parts.
      faulty: Paths of the faulty parts.
    """

    config: schema.Config
    document: merge.Document
    faulty: frozenset[paths.Path]

    def names(self, *path: str) -> set[str]:
        """Returns the keys of the object at a path, also of faulty entries."""
        value: object = self.document
        for part in path:
            value = value.get(part, {}) if isinstance(value, dict) else {}
        return set(value) if isinstance(value, dict) else set()

    def is_faulty(self, *path: str) -> bool:
        """Returns whether anything at or below a path is faulty."""
        return any(faulty[: len(path)] == path for faulty in self.faulty)

    def check_reference(
        self, path: paths.Path, name: str, *parent: str
    ) -> Problems:
        """Yields a problem when a reference names no existing entry.

        Args:
          path: Path of the reference.
          name: Name that it refers to.
          *parent: Path of the object that must have this name as a key.
        """
        known = self.names(*parent)
        if name in known:
            return
        allowed = ', '.join(sorted(known)) or 'none (none exist)'
        message = f'{".".join(parent)} has no {name!a}, allowed are {allowed}'
        yield faults.Problem(path, faults.FaultCode.UNKNOWN_REFERENCE, message)


def find_problems(subject: Subject) -> list[faults.Problem]:
    """Returns the problems that all rules find."""
    return [problem for rule in _rules for problem in rule(subject)]


def _rule(rule: Rule) -> Rule:
    _rules.append(rule)
    return rule


@_rule
def _organisation_references_exist(subject: Subject) -> Problems:
    for name, organisation in subject.config.organisations.items():
        path = ('organisations', name)
        for model, versions in organisation.allowed.items():
            item_path = (*path, 'allowed', model)
            yield from subject.check_reference(item_path, model, 'models')
            yield from _check_versions(subject, item_path, model, versions)
        for kind_id, kind in organisation.kinds.items():
            item_path = (*path, 'kinds', kind_id, 'cascade')
            yield from subject.check_reference(
                item_path, kind.cascade, 'cascades'
            )
        for index, service in enumerate(organisation.services):
            item_path = (*path, 'services', index)
            yield from subject.check_reference(item_path, service, 'services')


@_rule
def _kinds_have_an_allowed_step(subject: Subject) -> Problems:
    for name, organisation in subject.config.organisations.items():
        for kind_id, kind in organisation.kinds.items():
            cascade = subject.config.cascades.get(kind.cascade)
            if cascade is None:
                continue
            if any(organisation.allowed.get(step) for step in cascade.steps):
                continue
            message = (
                f'the cascade has no allowed step, one of'
                f' {", ".join(cascade.steps)} must be allowed'
            )
            path = ('organisations', name, 'kinds', kind_id, 'cascade')
            code = faults.FaultCode.CASCADE_NOT_ALLOWED
            yield faults.Problem(path, code, message)


@_rule
def _keys_belong_to_one_organisation(subject: Subject) -> Problems:
    owner_by_key: dict[str, str] = {}
    for name, organisation in subject.config.organisations.items():
        for index, key in enumerate(organisation.keys):
            owner = owner_by_key.setdefault(key, name)
            if owner != name:
                yield _duplicate(
                    ('organisations', name, 'keys', index),
                    f'the key also belongs to {owner}',
                )


@_rule
def _cascade_steps_exist_once(subject: Subject) -> Problems:
    for name, cascade in subject.config.cascades.items():
        seen = set()
        for index, step in enumerate(cascade.steps):
            path = ('cascades', name, 'steps', index)
            yield from subject.check_reference(path, step, 'models')
            if step in seen:
                yield _duplicate(path, f'{step} is already a step')
            seen.add(step)


@_rule
def _shares_sum_to_100(subject: Subject) -> Problems:
    for name, model in subject.config.models.items():
        if subject.is_faulty('models', name):
            continue
        shares = [
            version.share
            for version in model.versions.values()
            if version.state is states.VersionState.ACTIVE
        ]
        if shares and sum(shares) != REQUIRED_SHARE_SUM_PERCENT:
            message = (
                f'shares of active versions sum to {sum(shares)},'
                f' {REQUIRED_SHARE_SUM_PERCENT} is required'
            )
            path = ('models', name, 'versions')
            yield faults.Problem(path, faults.FaultCode.SHARE_SUM, message)


@_rule
def _upstream_references_exist(subject: Subject) -> Problems:
    for name, upstream in subject.config.upstreams.items():
        path = ('upstreams', name)
        yield from subject.check_reference(
            (*path, 'zone'), upstream.zone, 'zones'
        )
        for model, versions in upstream.serves.items():
            item_path = (*path, 'serves', model)
            yield from subject.check_reference(item_path, model, 'models')
            yield from _check_versions(subject, item_path, model, versions)


@_rule
def _addresses_are_valid_and_unique(subject: Subject) -> Problems:
    names_by_address = collections.defaultdict(list)
    for name, upstream in subject.config.upstreams.items():
        path = ('upstreams', name, 'address')
        host, _, port = upstream.address.rpartition(':')
        octets = [int(octet) for octet in host.split('.')]
        if max(octets) > 255 or not 1 <= int(port) <= 65_535:
            message = (
                f'{upstream.address} is out of range, octets are 0 to 255'
                f' and ports 1 to 65535'
            )
            yield faults.Problem(path, faults.FaultCode.OUT_OF_RANGE, message)
        names_by_address[upstream.address].append(name)
        if len(names_by_address[upstream.address]) > 1:
            other = names_by_address[upstream.address][0]
            yield _duplicate(path, f'{other} also has this address')


@_rule
def _service_upstreams_exist(subject: Subject) -> Problems:
    for name, service in subject.config.services.items():
        for index, upstream in enumerate(service.upstreams):
            path = ('services', name, 'upstreams', index)
            yield from subject.check_reference(path, upstream, 'upstreams')


@_rule
def _rollouts_are_consistent(subject: Subject) -> Problems:
    rollout_by_model: dict[ids.ModelId, ids.RolloutId] = {}
    for name, rollout in subject.config.rollouts.items():
        path = ('rollouts', name)
        yield from subject.check_reference(
            (*path, 'model'), rollout.model, 'models'
        )
        for key in ('from_version', 'to_version'):
            version = getattr(rollout, key)
            yield from _check_version(
                subject, (*path, key), rollout.model, version
            )
        if rollout.from_version == rollout.to_version:
            message = 'equal to from_version, another version is required'
            code = faults.FaultCode.ROLLOUT_VERSIONS
            yield faults.Problem((*path, 'to_version'), code, message)
        if rollout.state is states.RolloutState.STOPPED:
            continue
        other = rollout_by_model.setdefault(rollout.model, name)
        if other != name:
            message = f'roll-out {other} also changes this model'
            yield _duplicate((*path, 'model'), message)


@_rule
def _one_session_key_signs(subject: Subject) -> Problems:
    keys = subject.config.session_keys
    if not keys or subject.is_faulty('session_keys'):
        return
    signing = [
        key for key in keys.values() if key.state is states.KeyState.SIGNING
    ]
    if len(signing) != 1:
        message = f'{len(signing)} keys sign, exactly one is required'
        code = faults.FaultCode.SESSION_KEYS
        yield faults.Problem(('session_keys',), code, message)


def _check_versions(subject, path, model: str, versions) -> Problems:
    for index, version in enumerate(versions):
        if version != schema.ANY_VERSION:
            item_path = (*path, index)
            yield from _check_version(subject, item_path, model, version)


def _check_version(subject, path, model: str, version: str) -> Problems:
    if model in subject.names('models'):
        parent = ('models', model, 'versions')
        yield from subject.check_reference(path, version, *parent)


def _duplicate(path: paths.Path, message: str) -> faults.Problem:
    code = faults.FaultCode.DUPLICATE_VALUE
    return faults.Problem(path, code, f'{message}, only one is allowed')
