"""Measures, in one process, what a daemon does at the size designed for.

Times are processor time of this process, the lowest of several runs: what
the work itself costs, not how busy the machine is.
"""

import base64
from collections.abc import Callable
import json
import pathlib
import random
import time
import tracemalloc
from typing import Any

import click

from bench import figures
from bench import fleets
from bench import jsonout
from bench import texts
from peridotpost.border import text as text_border
from peridotpost.decisions import fleet as fleet_rules
from peridotpost.decisions import seeds as seed_rules
from peridotpost.decisions import tree
from peridotpost.decisions import versions as version_rules
from peridotpost.distribution import links
from peridotpost.distribution import reconcile
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import wire
from peridotpost.generated import control_pb2
from peridotpost.membership import seeds
from peridotpost.model import config
from peridotpost.model import members
from peridotpost.model import routing
from peridotpost.standins import platform as platform_standin
from peridotpost.store import versions
from testing import fleets as nodes

REPEATS = 7
LEAF = config.Interest(ingress=True)


def cpu_ms(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the lowest processor time of `work`, in milliseconds."""
    best = float('inf')
    for _ in range(repeats):
        began = time.process_time()
        work()
        best = min(best, time.process_time() - began)
    return round(best * 1000, 4)


def sizes() -> dict[str, Any]:
    """Return the bytes of each message about configuration."""
    base = fleets.version()
    text = texts.mesh_text(fleets.SERVICES, fleets.ZONES)
    hosted = frozenset({sorted(base.services)[7]})
    scopes = {
        'relay': config.EVERYTHING,
        'ingress leaf': config.Interest(ingress=True, hosted=hosted),
        'leaf without ingress': config.Interest(hosted=hosted),
    }
    shown: dict[str, Any] = {
        'text': len(text.encode()),
        'stored_value': len(_stored(text)),
    }
    for name, interest in scopes.items():
        held = base.scoped(interest)
        whole = version_rules.difference(
            config.NO_CONFIG, version_rules.Holding(held, interest)
        )
        deltas = []
        for number in range(len(base.services)):
            after = fleets.changed_version(base, number).scoped(interest)
            update = version_rules.difference(
                held, version_rules.Holding(after, interest)
            )
            deltas.append(wire.update_to_wire(update).ByteSize())
        shown[name] = {
            'services': len(held.services),
            'whole': wire.update_to_wire(whole).ByteSize(),
            'delta_p50': figures.quantile(deltas, 0.5),
            'delta_max': max(deltas),
        }
    return shown


def _stored(text: str) -> bytes:
    return versions.to_value(
        versions.Accepted(1, 1, '0' * 32, 'bench', '', 0.0, 0, text)
    )


def fleet_costs(hosts: int) -> dict[str, Any]:
    """Return processor times and bytes that grow with the fleet."""
    records = list(fleets.records(hosts))
    node = fleets.full_node(records[0].host, config.EVERYTHING, hosts)
    one = node.replica
    leaf = fleets.full_node(records[0].host, LEAF, hosts).replica
    everyone = control_pb2.Facts(
        members=[wire.member_to_wire(found) for found in records]
    )
    zone_hosts = one.fleet.live_hosts('zone-00')
    picker = reconcile.Reconciler(one, one.counts, 'zone-00', random.Random(1))
    sums = list(one.fleet.sums)
    bucket = frozenset({0})
    marks = wire.bucket_marks(bucket, one.fleet.marks(bucket))
    taken = links.Link('child', node.table, node.counts)
    return {
        'hosts': hosts,
        'zone_hosts': len(zone_hosts),
        'bytes': {
            'member_record': wire.member_to_wire(records[0]).ByteSize(),
            'all_member_records': everyone.ByteSize(),
            'hello': links.greeting(taken).ByteSize(),
            'digest': _digest(one).ByteSize(),
            'marks_of_one_bucket': marks.ByteSize(),
        },
        'memory_mib': _fleet_memory(hosts),
        'cpu_ms': {
            'compile_table_relay': cpu_ms(lambda: _compile(one)),
            'compile_table_leaf': cpu_ms(lambda: _compile(leaf)),
            'table_after_one_member': cpu_ms(lambda: _recompile(one)),
            'plan_as_relay': cpu_ms(lambda: _plan(one, True)),
            'plan_as_leaf': cpu_ms(lambda: _plan(one, False)),
            'seeds_due': cpu_ms(lambda: _seeds_due(one)),
            'merge_one_record': cpu_ms(lambda: _merge(one, records[1])),
            'write_digest': cpu_ms(lambda: _digest(one).SerializeToString()),
            'compare_sums': cpu_ms(lambda: one.fleet.differing(sums)),
            'marks_of_one_bucket': cpu_ms(lambda: one.fleet.marks(bucket)),
            'probe_candidates': cpu_ms(
                lambda: one.fleet.live_hosts('zone-00')
            ),
            'pick_reconciliation': cpu_ms(picker.pick),
            'read_all_records': cpu_ms(
                lambda: [
                    wire.member_from_wire(found) for found in everyone.members
                ]
            ),
        },
    }


def _digest(one: replicas.Replica) -> control_pb2.Digest:
    return control_pb2.Digest(
        host=one.host,
        revision=one.version.revision,
        config_digest=one.digest,
        interest=wire.interest_to_wire(one.interest),
        member_sums=one.fleet.sums,
    )


def _compile(one: replicas.Replica) -> None:
    routing.compile_table(one.version, one.fleet.live())


def _recompile(one: replicas.Replica) -> None:
    """Do what the first call after a member's change waits for."""
    record = next(iter(one.fleet.records.values()))
    one.tables.member_changed(record, record)
    one.tables.current(one.version)


def _seeds_due(one: replicas.Replica) -> None:
    """Do what each daemon does to know whether it keeps a seed record."""
    hosts = one.fleet.live_hosts('zone-00')
    tree.seed_hosts('zone-00', hosts, seed_rules.SEEDS_PER_ZONE)


def _plan(one: replicas.Replica, relay: bool) -> None:
    """Do what a daemon's plan does after a change of the fleet."""
    hosts = one.fleet.live_hosts('zone-00')
    tree.place_of(one.host, 'zone-00', hosts)
    if not relay:
        return
    for zone in one.fleet.zones():
        tree.relays_of(zone, one.fleet.live_hosts(zone))


def _merge(one: replicas.Replica, record: members.MemberRecord) -> None:
    one.fleet.merge(record, 0.0)


def _fleet_memory(hosts: int) -> float:
    """Return the MiB that a fleet's records and its table take."""
    base = fleets.version()
    tracemalloc.start()
    fleet = fleet_rules.Fleet()
    for record in fleets.records(hosts):
        # As decoded from a message: no string is shared between records.
        decoded = wire.member_from_wire(
            control_pb2.Member.FromString(
                wire.member_to_wire(record).SerializeToString()
            )
        )
        fleet.merge(decoded, 0.0)
    table = routing.compile_table(base, fleet.live())
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert table.routes
    return round(used / 1024 / 1024, 2)


def join_costs(hosts: int) -> dict[str, Any]:
    """Return processor time and bytes of a fresh daemon's join.

    And of its joining again, when it lacks nothing.
    """
    parent = fleets.full_node('parent', config.EVERYTHING, hosts)
    child = nodes.Node('child', LEAF)
    shown = {'fresh': _exchange(nodes.Pipe(child, parent))}
    assert len(child.replica.fleet.records) == hosts
    shown['again'] = _exchange(nodes.Pipe(child, parent))
    return shown


def _exchange(pipe: nodes.Pipe) -> dict[str, float]:
    """Exchange frames until nobody owes any; share the time by side."""
    spent = [0.0, 0.0]
    messages = 0
    quiet = False
    while not quiet:
        quiet = True
        for side in (0, 1):
            began = time.process_time()
            pipe.send(side)
            spent[side] += time.process_time() - began
            began = time.process_time()
            while pipe.deliver(side) is not None:
                messages += 1
                quiet = False
            spent[1 - side] += time.process_time() - began
    pipe.close()
    return {
        'messages': messages,
        'bytes': pipe.bytes_sent,
        'child_cpu_ms': round(spent[0] * 1000, 2),
        'parent_cpu_ms': round(spent[1] * 1000, 2),
    }


def store_costs() -> dict[str, int]:
    """Return the bytes of one read of all bootstrap records."""
    count = fleets.ZONES * seed_rules.SEEDS_PER_ZONE
    platform = platform_standin.Platform()
    prefix = seeds.seeds_prefix('measured')
    for record in fleets.records(count):
        value = json.dumps(
            {
                'host': record.host,
                'availability_zone': record.availability_zone,
                'control_address': record.control_address,
            }
        )
        key = f'{prefix}{record.availability_zone}/{record.host}'
        platform.state.put(
            key.encode(), value.encode(), 0, platform.state.revision + 1
        )
    answer = platform.answer(
        'kv/range',
        {'key': _base64(prefix), 'range_end': _base64(prefix[:-1] + '0')},
    )
    assert int(answer['count']) == count
    return {'records': count, 'read_bytes': len(json.dumps(answer))}


def _base64(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def version_costs() -> dict[str, float]:
    """Return processor times of one accepted version, in ms."""
    text = texts.mesh_text(fleets.SERVICES, fleets.ZONES)
    base = fleets.version()
    after = fleets.changed_version(base, 7)
    accepted = versions.Accepted(1, 1, '0' * 32, 'b', '', 0.0, 0, text)
    held = base.scoped(LEAF)
    holding = version_rules.Holding(held, LEAF)
    later = version_rules.Holding(after.scoped(LEAF), LEAF)
    update = version_rules.difference(held, later)
    bodies = fleets.version()
    return {
        'relay_read_text': cpu_ms(
            lambda: text_border.read_text(text, 'text'), 3
        ),
        'relay_compile_version': cpu_ms(
            lambda: versions.compile_version(accepted), 3
        ),
        'encode_and_hash_bodies': cpu_ms(
            lambda: _rehash(bodies.services.values())
        ),
        'scope_and_difference': cpu_ms(
            lambda: version_rules.difference(
                held, version_rules.Holding(after.scoped(LEAF), LEAF)
            )
        ),
        'leaf_judge': cpu_ms(
            lambda: version_rules.judge(holding, LEAF, update)
        ),
    }


def _rehash(specs: Any) -> None:
    services = {}
    for spec in specs:
        spec.__dict__.pop('body', None)
        services[spec.name] = spec
    assert config.ConfigVersion(1, '', (), services).digest


def measure() -> dict[str, Any]:
    return {
        'circumstances': figures.circumstances(),
        'config_bytes': sizes(),
        'version_cpu_ms': version_costs(),
        'bootstrap_read': store_costs(),
        'join': join_costs(fleets.HOSTS),
        'fleet': [fleet_costs(hosts) for hosts in (520, 2600, fleets.HOSTS)],
    }


@click.command(
    epilog='Example: python -m bench.capacity '
    '--output bench/results/capacity.json'
)
@click.option('--output', type=click.Path(path_type=pathlib.Path))
def main(output: pathlib.Path | None) -> None:
    """Measure at 5,200 members and 150 services; write JSON."""
    jsonout.tell(measure(), output)


if __name__ == '__main__':
    main()
