"""Customers of a run, and the credentials that its callers send."""

import collections
from collections.abc import Iterable
import dataclasses
import math
import random
from typing import Any

KEY_PREFIX = 'soak-key-'
HOT = 'hot'
"""Its callers ask for several times its quota."""
RATES = {HOT: 6.0, 'large': 40.0, 'medium': 15.0, 'small': 8.0, 'free': 0.0}
"""Quotas per second at the start; 0 is no limit."""
DEMAND = {HOT: 45, 'large': 25, 'medium': 10, 'small': 6, 'free': 5}
"""Relative demand.  All callers together send about 60 requests per second,
so that only ``HOT`` exceeds its quota."""
INVALID = ('none', 'unknown', 'removed', 'malformed', 'repeated')
INVALID_PROBABILITY = 0.1
FORGED_NAME_PROBABILITY = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """Holders of keys and quotas in one configuration version.

    :param started: time before it was written to the store.
    :param stored: time when the store acknowledged it.
    """

    started: float
    stored: float
    holders: dict[str, str]
    rates: dict[str, float]


class Customers:
    """Current keys and quotas, and those of all versions."""

    def __init__(self) -> None:
        self.rates = dict(RATES)
        self.keys = {name: [f'{KEY_PREFIX}{name}-0'] for name in RATES}
        self.versions: list[Version] = []

    def change(self, name: str, how: str) -> None:
        """Change a customer in the next version."""
        if how == 'lower':
            self.rates[name] = RATES[name] / 2
        elif how == 'restore':
            self.rates[name] = RATES[name]
        else:
            key = f'{KEY_PREFIX}{name}-{len(self.versions)}'
            first = 1 if how == 'replace-key' else 0
            self.keys[name] = [*self.keys[name][first:], key]

    def tenants(self) -> list[dict[str, Any]]:
        """Return the customers as in the platform's configuration."""
        return [
            {'name': name, 'apiKeys': self.keys[name], 'priority': priority}
            | {'ratePerS': self.rates[name], 'burst': self.rates[name]}
            for priority, name in enumerate(RATES)
        ]

    def record_version(self, started: float, stored: float) -> None:
        holders = {key: name for name in RATES for key in self.keys[name]}
        rates = dict(self.rates)
        self.versions.append(Version(started, stored, holders, rates))

    def pick(self, rng: random.Random) -> dict[str, Any]:
        """Return the fields of ``records.Asked`` on its customer."""
        held = self.versions[-1].holders
        (name,) = rng.choices([*DEMAND], [*DEMAND.values()])
        key = rng.choice([one for one in held if held[one] == name])
        kind = 'valid'
        if rng.random() < INVALID_PROBABILITY:
            kind = rng.choice(INVALID)
        if kind == 'unknown':
            key = f'{KEY_PREFIX}unknown'
        elif kind == 'removed':
            key = rng.choice([*self.versions[0].holders])
        headers = {'Authorization': f'Token {key}'}
        if kind == 'none':
            headers = {}
        elif kind == 'malformed':
            wrong = [f'Bearer {key}', f'Token {key} x', key]
            headers = {'Authorization': rng.choice(wrong)}
        elif kind == 'repeated':
            headers['Authorization'] += f'\r\nAuthorization: Token {key}'
        if rng.random() < FORGED_NAME_PROBABILITY:
            headers['X_Tenant'] = rng.choice([*RATES, 'forged'])
        return {
            'headers': headers,
            'key': key if kind in ('valid', 'unknown', 'removed') else '',
            'may_be_refused': kind != 'valid' or name == HOT,
        }


@dataclasses.dataclass(frozen=True, slots=True)
class KeySpan:
    """From when until when the stored configuration contained a key."""

    customer: str
    stored: float
    removed: float


def key_spans(versions: list[Version]) -> dict[str, KeySpan]:
    """Return the span of each key; a removed key does not return."""
    spans: dict[str, KeySpan] = {}
    for one in versions:
        for key, name in one.holders.items():
            spans.setdefault(key, KeySpan(name, one.stored, math.inf))
        for key, span in spans.items():
            if key not in one.holders and span.removed == math.inf:
                spans[key] = dataclasses.replace(span, removed=one.stored)
    return spans


def beyond_quota(
    versions: list[Version], sent: Iterable[tuple[float, str]], start: float
) -> collections.Counter[str]:
    """Count requests since `start` that even an ideal bucket refuses.

    The bucket of each customer has the quota of the last version and is full
    at the first request.

    :param sent: time and key of each request that needs a part of a quota.
    :return: by customer.
    """
    rates = versions[-1].rates
    spans = key_spans(versions)
    levels: dict[str, tuple[float, float]] = {}
    beyond: collections.Counter[str] = collections.Counter()
    for at, key in sorted(sent):
        name = spans[key].customer if key in spans else ''
        rate = rates.get(name, 0.0)
        if not rate:
            continue
        level, before = levels.get(name, (rate, at))
        level = min(rate, level + rate * (at - before))
        admitted = level >= 1.0
        levels[name] = (level - admitted, at)
        beyond[name] += not admitted and at > start
    return beyond
