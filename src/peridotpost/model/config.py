"""An accepted configuration: services, their dependencies and limits."""

from collections.abc import Mapping
import dataclasses
import enum
import functools
import hashlib
import json


class WorkClass(enum.StrEnum):
    """Scheduling class of a service's calls when a target is full."""

    SHORT = 'short'
    LONG = 'long'


@dataclasses.dataclass(frozen=True, slots=True)
class CallRule:
    """Overrides the defaults of a service for some of its calls.

    :param method: HTTP method, upper case.
    :param path_prefix: the rule applies to paths that start with it.
    """

    method: str
    path_prefix: str
    idempotent: bool
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits that apply to each target of a service.

    ``queue`` is the number of requests that may wait for a slot;
    ``body_bytes`` limits the body of a request, ``answer_bytes`` that of a
    response.
    """

    queue: int
    body_bytes: int
    answer_bytes: int


@dataclasses.dataclass(frozen=True)
class ServiceSpec:
    """Configuration of one service."""

    name: str
    depends_on: tuple[str, ...]
    internal: bool
    idempotent: bool
    deadline_ms: int
    work_class: WorkClass
    limits: Limits
    calls: tuple[CallRule, ...]

    @functools.cached_property
    def body(self) -> bytes:
        """Canonical JSON, in which a service is transmitted and hashed."""
        fields = dataclasses.asdict(self)
        return json.dumps(
            fields, sort_keys=True, separators=(',', ':')
        ).encode()

    def find_rule(self, method: str, path: str) -> CallRule:
        """Return the matching rule with the longest prefix.

        Without a match, return a rule made of the service's defaults.
        """
        best: CallRule | None = None
        for rule in self.calls:
            if rule.method != method or not path.startswith(rule.path_prefix):
                continue
            if best is None or len(rule.path_prefix) > len(best.path_prefix):
                best = rule
        return best or CallRule(method, '/', self.idempotent, self.deadline_ms)


def parse_service(body: bytes) -> ServiceSpec:
    """Parse the output of :attr:`ServiceSpec.body`.

    :raises ValueError: `body` is not a serialized service.
    """
    try:
        fields = json.loads(body)
        return ServiceSpec(
            name=fields['name'],
            depends_on=tuple(fields['depends_on']),
            internal=fields['internal'],
            idempotent=fields['idempotent'],
            deadline_ms=fields['deadline_ms'],
            work_class=WorkClass(fields['work_class']),
            limits=Limits(**fields['limits']),
            calls=tuple(CallRule(**rule) for rule in fields['calls']),
        )
    except (KeyError, TypeError, UnicodeDecodeError) as error:
        raise ValueError(f'not a serialized service: {error!r}') from error


@dataclasses.dataclass(frozen=True, slots=True)
class Interest:
    """The part of a configuration that a daemon subscribes to.

    It covers the hosted services, their dependencies and, if external
    callers reach the daemon (`ingress`), every service that is not internal.
    It is evaluated again for each version, so that a version which adds a
    dependency is delivered together with the service depended on.

    :param everything: the whole configuration, as relays and other parents
        hold it.
    """

    everything: bool = False
    ingress: bool = False
    hosted: frozenset[str] = frozenset()


EVERYTHING = Interest(everything=True)


@dataclasses.dataclass(frozen=True)
class ConfigVersion:
    """One accepted version, or the part of it in a daemon's scope.

    :param revision: store revision of the accepting write; the only order
        of versions.
    :param write_id: identifies the accepting write, see ``store.versions``.
    """

    revision: int
    write_id: str
    availability_zones: tuple[str, ...]
    services: Mapping[str, ServiceSpec]

    @functools.cached_property
    def digest(self) -> bytes:
        """SHA-256 of the accepting write, the zones and the services."""
        sha256 = hashlib.sha256(f'{self.revision} {self.write_id}\0'.encode())
        sha256.update('\0'.join(self.availability_zones).encode())
        for name in sorted(self.services):
            sha256.update(b'\0')
            sha256.update(self.services[name].body)
        return sha256.digest()

    def narrow(self, interest: Interest) -> 'ConfigVersion':
        """Return the version reduced to the services in `interest`."""
        if interest.everything:
            return self
        needed = set(interest.hosted)
        for name in interest.hosted:
            spec = self.services.get(name)
            if spec is not None:
                needed.update(spec.depends_on)
        kept = {
            name: spec
            for name, spec in self.services.items()
            if name in needed or (interest.ingress and not spec.internal)
        }
        return dataclasses.replace(self, services=kept)


NO_CONFIG = ConfigVersion(0, '', (), {})
