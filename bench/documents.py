"""Generates mesh documents of the design capacity."""

import random

import yaml

LAYERS = 10
"""Services form ten layers, since calls are nested up to ten deep."""
MAX_DEPENDENCIES = 4
INTERNAL_FRACTION = 0.3


def generate_document(services: int, zones: int, seed: int = 1) -> str:
    """Return a valid mesh document; deterministic for the same arguments."""
    randomness = random.Random(seed)
    names = [
        f'{_name_prefix(number)}-{number:03d}' for number in range(services)
    ]
    per_layer = -(-services // LAYERS)
    content: dict[str, dict[str, object]] = {}
    for number, name in enumerate(names):
        layer = number // per_layer
        next_layer = names[(layer + 1) * per_layer : (layer + 2) * per_layer]
        count = min(len(next_layer), randomness.randint(0, MAX_DEPENDENCIES))
        content[name] = {
            'depends_on': sorted(randomness.sample(next_layer, count)),
            'internal': layer > 0 and randomness.random() < INTERNAL_FRACTION,
            'deadline_ms': randomness.choice([1000, 2000, 5000, 10000]),
            'work_class': randomness.choice(['short', 'short', 'long']),
            'calls': [{'method': 'GET', 'path': '/', 'idempotent': True}],
        }
    return str(
        yaml.safe_dump(
            {
                'mesh': 'measured',
                'availability_zones': [f'zone-{n:02d}' for n in range(zones)],
                'services': content,
            },
            sort_keys=False,
        )
    )


def with_deadline(document: str, number: int) -> str:
    """Return `document` with a different deadline of service `number`.

    Benchmarks measure this change: one field of one service.
    """
    content = yaml.safe_load(document)
    names = list(content['services'])
    spec = content['services'][names[number % len(names)]]
    spec['deadline_ms'] = 20_000 + number
    return str(yaml.safe_dump(content, sort_keys=False))


def _name_prefix(number: int) -> str:
    words = ('orders', 'ledger', 'roster', 'claims', 'bonds', 'kiosks')
    return words[number % len(words)]
