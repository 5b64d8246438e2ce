"""``peridotctl``: the command line for operators."""

import click

from peridotpost.cli.subcommands import acceptance
from peridotpost.cli.subcommands import customers
from peridotpost.cli.subcommands import fleet
from peridotpost.cli.subcommands import output
from peridotpost.cli.subcommands import references
from peridotpost.cli.subcommands import rollout
from peridotpost.cli.subcommands import texts


@click.group(
    cls=output.JsonGroup,
    epilog='Exit codes: 0 done, 1 failed (nothing was written), 2 invalid '
    'text or usage, 3 refused (lost a race, or not in force), 4 undecided '
    '(the store did not answer; repeat the accept with the same write ID).',
)
def main() -> None:
    """Check, accept and monitor the configuration text of a mesh."""


for command in (
    texts.check,
    texts.diff,
    acceptance.accept,
    acceptance.rollback,
    texts.show,
    texts.history,
    rollout.rollout,
    fleet.status,
    fleet.explain,
    fleet.timeline,
    customers.customers,
    references.reference,
):
    main.add_command(command)


if __name__ == '__main__':
    main()
