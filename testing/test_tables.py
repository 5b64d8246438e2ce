"""The incrementally updated routing table equals one compiled in full."""

import random

from peridotpost.border import mesh_document
from peridotpost.decisions import fleet as fleets
from peridotpost.decisions import tables
from peridotpost.model import config
from peridotpost.model import members
from peridotpost.model import routing

SERVICES = ('one', 'two', 'three')
TEXT = 'mesh: m\navailability_zones: [a]\nservices:\n'


def version_of(
    revision: int, randomness: random.Random
) -> config.ConfigVersion:
    lines = [
        f'  {name}: {{deadline_ms: {randomness.randrange(1, 3)}}}\n'
        for name in randomness.sample(SERVICES, 2)
    ]
    mesh = mesh_document.parse_mesh(TEXT + ''.join(lines), 'test')
    return mesh_document.to_config(mesh, revision, 'w')


def record_of(step: int, randomness: random.Random) -> members.MemberRecord:
    hosted = randomness.choices(SERVICES, k=randomness.randrange(3))
    return members.MemberRecord(
        f'h{randomness.randrange(8)}',
        'a',
        step,
        randomness.choice(list(members.Status)),
        1,
        '10.0.0.1',
        1,
        2,
        3,
        4,
        tuple(
            members.TargetRecord(
                name,
                f't{number}',
                randomness.choice(list(members.TargetState)),
                number,
            )
            for number, name in enumerate(hosted)
        ),
    )


def test_incremental_table_equals_the_compiled_one(
    randomness: random.Random,
) -> None:
    compiler = tables.TableCompiler()
    fleet = fleets.Fleet()
    version = config.NO_CONFIG
    for step in range(2000):
        if randomness.random() < 0.1:
            version = version_of(step, randomness)
        record = record_of(step, randomness)
        before = fleet.records.get(record.host)
        assert fleet.merge(record, 0.0)
        compiler.member_changed(before, record)
        if randomness.random() < 0.5:
            whole = routing.compile_table(version, fleet.live())
            assert compiler.current(version) == whole


def test_change_of_one_member_keeps_other_routes(
    randomness: random.Random,
) -> None:
    version = version_of(1, randomness)
    first, second = version.services
    compiler = tables.TableCompiler()
    base = record_of(1, random.Random(1))
    record = members.MemberRecord(
        'h',
        'a',
        1,
        members.Status.ALIVE,
        1,
        *('10.0.0.1', 1, 2, 3, 4),
        (members.TargetRecord(first, 't', members.TargetState.READY, 1),),
    )
    compiler.member_changed(None, base)
    before = compiler.current(version)
    compiler.member_changed(None, record)
    after = compiler.current(version)
    assert after.routes[second] is before.routes[second]
    assert after.routes[first] is not before.routes[first]
