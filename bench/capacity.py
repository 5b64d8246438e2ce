"""Measures a daemon's operations at design capacity, in one process.

Times are the CPU time of this process, the minimum of several runs, so
that they are independent of the load of the machine.
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

from bench import documents
from bench import fleets
from bench import json_output
from bench import stats
from peridotpost.border import mesh_document
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
from testing import distribution_harness as nodes

REPEATS = 7
LEAF_INTEREST = config.Interest(ingress=True)


def min_cpu_ms(
    operation: Callable[[], object], repeats: int = REPEATS
) -> float:
    """Return the minimum CPU time of `operation`, in milliseconds."""
    min_s = float('inf')
    for _ in range(repeats):
        started_at = time.process_time()
        operation()
        min_s = min(min_s, time.process_time() - started_at)
    return round(min_s * 1000, 4)


def message_sizes() -> dict[str, Any]:
    """Return the size in bytes of each configuration message."""
    base = fleets.make_version()
    document = documents.generate_document(fleets.SERVICES, fleets.ZONES)
    hosted = frozenset({sorted(base.services)[7]})
    scopes = {
        'relay': config.EVERYTHING,
        'ingress leaf': config.Interest(ingress=True, hosted=hosted),
        'leaf without ingress': config.Interest(hosted=hosted),
    }
    result: dict[str, Any] = {
        'text': len(document.encode()),
        'stored_value': len(_encode_stored_value(document)),
    }
    for name, interest in scopes.items():
        held = base.narrow(interest)
        full_update = version_rules.make_update(
            config.NO_CONFIG, version_rules.Holding(held, interest)
        )
        deltas = []
        for number in range(len(base.services)):
            after = fleets.changed_version(base, number).narrow(interest)
            update = version_rules.make_update(
                held, version_rules.Holding(after, interest)
            )
            deltas.append(wire.update_to_wire(update).ByteSize())
        result[name] = {
            'services': len(held.services),
            'whole': wire.update_to_wire(full_update).ByteSize(),
            'delta_p50': stats.quantile(deltas, 0.5),
            'delta_max': max(deltas),
        }
    return result


def _encode_stored_value(document: str) -> bytes:
    return versions.encode_version(
        versions.AcceptedVersion(1, 1, '0' * 32, 'bench', '', 0.0, 0, document)
    )


def fleet_costs(hosts: int) -> dict[str, Any]:
    """Return CPU times and message sizes that grow with the fleet."""
    records = list(fleets.member_records(hosts))
    node = fleets.make_full_node(records[0].host, config.EVERYTHING, hosts)
    replica = node.replica
    leaf = fleets.make_full_node(records[0].host, LEAF_INTEREST, hosts).replica
    all_members = control_pb2.Facts(
        members=[wire.member_to_wire(record) for record in records]
    )
    zone_hosts = replica.fleet.live_hosts('zone-00')
    reconciler = reconcile.Reconciler(
        replica, replica.counts, 'zone-00', random.Random(1)
    )
    sums = list(replica.fleet.bucket_sums)
    bucket = frozenset({0})
    marks = wire.bucket_marks_to_wire(bucket, replica.fleet.marks(bucket))
    link = links.Link('child', node.table, node.counts)
    return {
        'hosts': hosts,
        'zone_hosts': len(zone_hosts),
        'bytes': {
            'member_record': wire.member_to_wire(records[0]).ByteSize(),
            'all_member_records': all_members.ByteSize(),
            'hello': links.hello_message(link).ByteSize(),
            'digest': _make_digest(replica).ByteSize(),
            'marks_of_one_bucket': marks.ByteSize(),
        },
        'memory_mib': _fleet_memory(hosts),
        'cpu_ms': {
            'compile_table_relay': min_cpu_ms(lambda: _compile_table(replica)),
            'compile_table_leaf': min_cpu_ms(lambda: _compile_table(leaf)),
            'table_after_one_member': min_cpu_ms(
                lambda: _update_table(replica)
            ),
            'plan_as_relay': min_cpu_ms(
                lambda: _compute_tree_position(replica, True)
            ),
            'plan_as_leaf': min_cpu_ms(
                lambda: _compute_tree_position(replica, False)
            ),
            'seeds_due': min_cpu_ms(lambda: _select_seed_hosts(replica)),
            'merge_one_record': min_cpu_ms(
                lambda: _merge_record(replica, records[1])
            ),
            'write_digest': min_cpu_ms(
                lambda: _make_digest(replica).SerializeToString()
            ),
            'compare_sums': min_cpu_ms(lambda: replica.fleet.differing(sums)),
            'marks_of_one_bucket': min_cpu_ms(
                lambda: replica.fleet.marks(bucket)
            ),
            'probe_candidates': min_cpu_ms(
                lambda: replica.fleet.live_hosts('zone-00')
            ),
            'pick_reconciliation': min_cpu_ms(reconciler.pick_address),
            'read_all_records': min_cpu_ms(
                lambda: [
                    wire.member_from_wire(record)
                    for record in all_members.members
                ]
            ),
        },
    }


def _make_digest(replica: replicas.Replica) -> control_pb2.Digest:
    return control_pb2.Digest(
        host=replica.host,
        revision=replica.version.revision,
        config_digest=replica.digest,
        interest=wire.interest_to_wire(replica.interest),
        member_sums=replica.fleet.bucket_sums,
    )


def _compile_table(replica: replicas.Replica) -> None:
    routing.compile_table(replica.version, replica.fleet.live())


def _update_table(replica: replicas.Replica) -> None:
    """Update the table as the first call after a member change does."""
    record = next(iter(replica.fleet.records.values()))
    replica.tables.member_changed(record, record)
    replica.tables.current(replica.version)


def _select_seed_hosts(replica: replicas.Replica) -> None:
    """Select the hosts that keep a seed record, as each daemon does."""
    hosts = replica.fleet.live_hosts('zone-00')
    tree.seed_hosts('zone-00', hosts, seed_rules.SEEDS_PER_ZONE)


def _compute_tree_position(replica: replicas.Replica, is_relay: bool) -> None:
    """Recompute the tree position, as a daemon does on a fleet change."""
    hosts = replica.fleet.live_hosts('zone-00')
    tree.position_of(replica.host, 'zone-00', hosts)
    if not is_relay:
        return
    for zone in replica.fleet.zones():
        tree.relays_of(zone, replica.fleet.live_hosts(zone))


def _merge_record(
    replica: replicas.Replica, record: members.MemberRecord
) -> None:
    replica.fleet.merge(record, 0.0)


def _fleet_memory(hosts: int) -> float:
    """Return the MiB used by a fleet's records and its routing table."""
    base = fleets.make_version()
    tracemalloc.start()
    fleet = fleet_rules.Fleet()
    for record in fleets.member_records(hosts):
        # Records decoded from messages do not share strings.
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
    """Return the CPU time and bytes of the join of a new daemon.

    The join is measured a second time, when the daemon is up to date.
    """
    parent = fleets.make_full_node('parent', config.EVERYTHING, hosts)
    child = nodes.Node('child', LEAF_INTEREST)
    result = {'fresh': _exchange_frames(nodes.Pipe(child, parent))}
    assert len(child.replica.fleet.records) == hosts
    result['again'] = _exchange_frames(nodes.Pipe(child, parent))
    return result


def _exchange_frames(pipe: nodes.Pipe) -> dict[str, float]:
    """Exchange frames until none is pending; return the CPU time by side."""
    cpu_s = [0.0, 0.0]
    messages = 0
    is_idle = False
    while not is_idle:
        is_idle = True
        for side in (0, 1):
            started_at = time.process_time()
            pipe.send(side)
            cpu_s[side] += time.process_time() - started_at
            started_at = time.process_time()
            while pipe.deliver(side) is not None:
                messages += 1
                is_idle = False
            cpu_s[1 - side] += time.process_time() - started_at
    pipe.close()
    return {
        'messages': messages,
        'bytes': pipe.bytes_sent,
        'child_cpu_ms': round(cpu_s[0] * 1000, 2),
        'parent_cpu_ms': round(cpu_s[1] * 1000, 2),
    }


def store_costs() -> dict[str, int]:
    """Return the size in bytes of one read of all seed records."""
    count = fleets.ZONES * seed_rules.SEEDS_PER_ZONE
    platform = platform_standin.Platform()
    prefix = seeds.seeds_prefix('measured')
    for record in fleets.member_records(count):
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
    response = platform.answer(
        'kv/range',
        {'key': _base64(prefix), 'range_end': _base64(prefix[:-1] + '0')},
    )
    assert int(response['count']) == count
    return {'records': count, 'read_bytes': len(json.dumps(response))}


def _base64(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def version_costs() -> dict[str, float]:
    """Return the CPU times of processing an accepted version, in ms."""
    document = documents.generate_document(fleets.SERVICES, fleets.ZONES)
    base = fleets.make_version()
    after = fleets.changed_version(base, 7)
    accepted = versions.AcceptedVersion(
        1, 1, '0' * 32, 'b', '', 0.0, 0, document
    )
    held = base.narrow(LEAF_INTEREST)
    holding = version_rules.Holding(held, LEAF_INTEREST)
    new_holding = version_rules.Holding(
        after.narrow(LEAF_INTEREST), LEAF_INTEREST
    )
    update = version_rules.make_update(held, new_holding)
    uncached_version = fleets.make_version()
    return {
        'relay_read_text': min_cpu_ms(
            lambda: mesh_document.parse_mesh(document, 'text'), 3
        ),
        'relay_compile_version': min_cpu_ms(
            lambda: versions.compile_version(accepted), 3
        ),
        'encode_and_hash_bodies': min_cpu_ms(
            lambda: _recompute_digest(uncached_version.services.values())
        ),
        'scope_and_difference': min_cpu_ms(
            lambda: version_rules.make_update(
                held,
                version_rules.Holding(
                    after.narrow(LEAF_INTEREST), LEAF_INTEREST
                ),
            )
        ),
        'leaf_judge': min_cpu_ms(
            lambda: version_rules.apply_update(holding, LEAF_INTEREST, update)
        ),
    }


def _recompute_digest(specs: Any) -> None:
    services = {}
    for spec in specs:
        spec.__dict__.pop('body', None)
        services[spec.name] = spec
    assert config.ConfigVersion(1, '', (), services).digest


def measure() -> dict[str, Any]:
    return {
        'circumstances': stats.describe_environment(),
        'config_bytes': message_sizes(),
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
    """Measure with 5,200 members and 150 services; write JSON."""
    json_output.write_result(measure(), output)


if __name__ == '__main__':
    main()
