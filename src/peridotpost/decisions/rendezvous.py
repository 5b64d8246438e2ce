"""Which of the reachable hosts keeps a customer's account.

Load pattern: hosts fail, restart and are partitioned while every host needs
the owner of each of its customers five times a second.  In a fleet of 5,200
hosts, weighing all of them takes milliseconds for each customer.

- Hosts that reach the same hosts choose the same owner, without messages.
- A host that vanishes moves only the customers that it owned; a host that
  appears moves only those that it owns from then on.
- Owners are remembered, so that a change of membership costs one hash for
  each remembered customer, and a full search only for those whose owner
  vanished.
"""

from collections.abc import Iterable
import hashlib


def weight(customer: str, host: str) -> int:
    """Return a hash of both names, the same on every host."""
    joined = f'{customer}\0{host}'.encode()
    return int.from_bytes(hashlib.blake2b(joined, digest_size=8).digest())


class Owners:
    """Owners of customers among the hosts that one daemon reaches."""

    def __init__(self) -> None:
        self.hosts: frozenset[str] = frozenset()
        self.by_customer: dict[str, str] = {}

    def update(self, hosts: Iterable[str]) -> None:
        """Replace the set of reachable hosts."""
        before = self.hosts
        self.hosts = frozenset(hosts)
        lost = before - self.hosts
        gained = self.hosts - before
        if not lost and not gained:
            return
        for customer, owner in list(self.by_customer.items()):
            if owner in lost:
                del self.by_customer[customer]
            elif gained:
                self.by_customer[customer] = _heaviest(
                    customer, [owner, *gained]
                )

    def retain(self, customers: Iterable[str]) -> None:
        """Forget the owners of all other customers."""
        kept = set(customers)
        for customer in self.by_customer.keys() - kept:
            del self.by_customer[customer]

    def owner_of(self, customer: str) -> str | None:
        """Return the owner of a customer; None if no host is reachable."""
        owner = self.by_customer.get(customer)
        if owner is None and self.hosts:
            owner = _heaviest(customer, self.hosts)
            self.by_customer[customer] = owner
        return owner


def _heaviest(customer: str, hosts: Iterable[str]) -> str:
    return max(hosts, key=lambda host: (weight(customer, host), host))
