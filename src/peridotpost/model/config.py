"""An accepted configuration: services, their dependencies and limits."""

from collections.abc import Mapping
import dataclasses
import enum
import functools
import hashlib
import json


class WorkClass(enum.StrEnum):
    """How urgent a service's calls are when a target is full."""

    SHORT = 'short'
    LONG = 'long'


@dataclasses.dataclass(frozen=True, slots=True)
class CallRule:
    """Which calls of a service the rule is about, and what it says.

    :param method: HTTP method, upper case.
    :param path_prefix: the rule covers paths that begin with it.
    """

    method: str
    path_prefix: str
    idempotent: bool
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds that hold for each target of a service.

    ``queue`` counts requests that wait for a slot; ``body_bytes`` bounds
    a request's body and ``answer_bytes`` an answer's.
    """

    queue: int
    body_bytes: int
    answer_bytes: int


@dataclasses.dataclass(frozen=True)
class ServiceSpec:
    """What the operators' text says of one service."""

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
        """Canonical JSON, the form in which a service is sent and hashed."""
        plain = dataclasses.asdict(self)
        return json.dumps(
            plain, sort_keys=True, separators=(',', ':')
        ).encode()

    def rule_for(self, method: str, path: str) -> CallRule:
        """Return the longest matching rule, else the service's default."""
        best: CallRule | None = None
        for rule in self.calls:
            if rule.method != method or not path.startswith(rule.path_prefix):
                continue
            if best is None or len(rule.path_prefix) > len(best.path_prefix):
                best = rule
        return best or CallRule(method, '/', self.idempotent, self.deadline_ms)


def service_from_body(body: bytes) -> ServiceSpec:
    """Read what :attr:`ServiceSpec.body` wrote.

    :raises ValueError: the bytes are not such a body.
    """
    try:
        plain = json.loads(body)
        return ServiceSpec(
            name=plain['name'],
            depends_on=tuple(plain['depends_on']),
            internal=plain['internal'],
            idempotent=plain['idempotent'],
            deadline_ms=plain['deadline_ms'],
            work_class=WorkClass(plain['work_class']),
            limits=Limits(**plain['limits']),
            calls=tuple(CallRule(**rule) for rule in plain['calls']),
        )
    except (KeyError, TypeError, UnicodeDecodeError) as error:
        raise ValueError(f'not a service body: {error!r}') from error


@dataclasses.dataclass(frozen=True, slots=True)
class Interest:
    """Which part of a configuration a daemon needs.

    The services it hosts, those they depend on, and, where callers from
    outside reach it (`ingress`), every service that is not internal.  It
    is worked out anew for each version, so that a version which adds a
    dependency arrives together with the service depended on.

    :param everything: the whole, as relays and other parents hold it.
    """

    everything: bool = False
    ingress: bool = False
    hosted: frozenset[str] = frozenset()


EVERYTHING = Interest(everything=True)


@dataclasses.dataclass(frozen=True)
class ConfigVersion:
    """One accepted version, or a daemon's scope of it.

    :param revision: the store's revision of the accepting write; versions
        are ordered by it and by nothing else.
    :param write_id: names the accepting write, see ``platform.versions``.
    """

    revision: int
    write_id: str
    availability_zones: tuple[str, ...]
    services: Mapping[str, ServiceSpec]

    @functools.cached_property
    def digest(self) -> bytes:
        """SHA-256 over the accepting write and all that is held, in order."""
        state = hashlib.sha256(f'{self.revision} {self.write_id}\0'.encode())
        state.update('\0'.join(self.availability_zones).encode())
        for name in sorted(self.services):
            state.update(b'\0')
            state.update(self.services[name].body)
        return state.digest()

    def scoped(self, interest: Interest) -> 'ConfigVersion':
        """Return the version cut down to what `interest` needs."""
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
