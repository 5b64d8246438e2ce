"""Generates an operators' text of the size that is designed for."""

import random

import yaml

LAYERS = 10
"""Calls go up to ten deep, so services stand in ten layers."""
MOST_DEPENDENCIES = 4
INTERNAL_SHARE = 0.3


def mesh_text(services: int, zones: int, seed: int = 1) -> str:
    """Return a valid text; the same arguments give the same text."""
    randomness = random.Random(seed)
    names = [f'{_word(number)}-{number:03d}' for number in range(services)]
    per_layer = -(-services // LAYERS)
    plain: dict[str, dict[str, object]] = {}
    for number, name in enumerate(names):
        layer = number // per_layer
        below = names[(layer + 1) * per_layer : (layer + 2) * per_layer]
        count = min(len(below), randomness.randint(0, MOST_DEPENDENCIES))
        plain[name] = {
            'depends_on': sorted(randomness.sample(below, count)),
            'internal': layer > 0 and randomness.random() < INTERNAL_SHARE,
            'deadline_ms': randomness.choice([1000, 2000, 5000, 10000]),
            'work_class': randomness.choice(['short', 'short', 'long']),
            'calls': [{'method': 'GET', 'path': '/', 'idempotent': True}],
        }
    return str(
        yaml.safe_dump(
            {
                'mesh': 'measured',
                'availability_zones': [f'zone-{n:02d}' for n in range(zones)],
                'services': plain,
            },
            sort_keys=False,
        )
    )


def with_deadline(text: str, number: int) -> str:
    """Return `text` with another deadline of its service `number`.

    This is the change of a text that is measured: one field of one
    service.
    """
    plain = yaml.safe_load(text)
    names = list(plain['services'])
    spec = plain['services'][names[number % len(names)]]
    spec['deadline_ms'] = 20_000 + number
    return str(yaml.safe_dump(plain, sort_keys=False))


def _word(number: int) -> str:
    words = ('orders', 'ledger', 'roster', 'claims', 'bonds', 'kiosks')
    return words[number % len(words)]
