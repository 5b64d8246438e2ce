"""Writes the demo's plan; prints a line per process for run.sh to start."""

import pathlib
import random
import sys

from peridotpost.standins import mesh

HOSTS_PER_ZONE = 3


def main() -> None:
    document_file, directory = (
        pathlib.Path(sys.argv[1]),
        pathlib.Path(sys.argv[2]),
    )
    plan = mesh.plan_mesh(
        document_file.read_text(), directory, HOSTS_PER_ZONE, random.Random()
    )
    print(f'platform {plan.platform_port}')
    for host in plan.hosts:
        print(f'host {host.host} {host.service} {host.admin} {host.settings}')


if __name__ == '__main__':
    main()
