"""Customers by key, and the rank of their requests.

Load pattern: hundreds of customers share a mesh, and each request names its
customer by a secret key.  During an attack or after a revocation most keys
are unknown, and a few customers send several times their usual rate.

- A lookup hashes the key once, whether it is known or not.  Its time depends
  neither on the number of customers nor on how much of a key is right.  A key
  longer than any known one is not hashed.
- Only hashes under a secret of this process are kept, so neither a memory
  dump nor another process's table reveals a key.
- A request of a more urgent customer precedes those of the others whatever
  their routes; the route decides among requests of the same priority.
- Calls of runs precede all new requests, by the same order.  A refused call
  makes a run fail that already holds a slot elsewhere, and the slots of the
  calling service bound their number.
- A table is immutable and belongs to one configuration version, so that a
  revoked key fails from the first request after the version took effect.
"""

from collections.abc import Iterable
import hashlib

from peridotpost.model import mesh

CUSTOMER_RANKS = 1
"""Whether the priority of a customer precedes the rank of the route."""
CALLS_FIRST = 1
"""0: calls have the rank of their route and their caller's priority."""
RANKS_PER_PRIORITY = 100
MAX_PRIORITY = 9_999
"""Larger priorities count as this one in a rank."""
CALL_PRECEDENCE = RANKS_PER_PRIORITY * (MAX_PRIORITY + 1)
"""Difference between the ranks of a request and of an equal call."""
DIGEST_BYTES = 16
"""Two keys share a digest with a probability of less than 1 in 10**30 at a
million keys."""


class CustomerTable:
    """The customers of one configuration version.

    :param entries: each customer with its keys; names are unique, and no key
        belongs to two customers.
    :param secret: up to 64 random bytes, the key of the hash.
    """

    def __init__(
        self,
        entries: Iterable[tuple[mesh.Customer, Iterable[bytes]]],
        secret: bytes,
    ) -> None:
        self.by_name: dict[str, mesh.Customer] = {}
        self._secret = secret
        self._by_digest: dict[bytes, mesh.Customer] = {}
        self._longest_key = 0
        for customer, keys in entries:
            self.by_name[customer.name] = customer
            for key in keys:
                self._by_digest[self._digest(key)] = customer
                self._longest_key = max(self._longest_key, len(key))

    def find(self, key: bytes) -> mesh.Customer | None:
        """Return the customer who holds a key; None if nobody does."""
        if len(key) > self._longest_key:
            return None
        return self._by_digest.get(self._digest(key))

    def _digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(
            key, digest_size=DIGEST_BYTES, key=self._secret
        ).digest()


def request_rank(priority: int, route_rank: int, is_call: bool = False) -> int:
    """Return the rank of a request; smaller ones are served first.

    :param priority: of the customer that the request is made for.
    :param is_call: whether a run waits for it.
    """
    if not CUSTOMER_RANKS:
        return route_rank
    within = min(max(route_rank, 0), RANKS_PER_PRIORITY - 1)
    rank = RANKS_PER_PRIORITY * min(priority, MAX_PRIORITY) + within
    return rank - CALL_PRECEDENCE if is_call and CALLS_FIRST else rank


def priority_of(rank: int) -> int:
    """Return the customer priority in a rank made by `request_rank`."""
    if not CUSTOMER_RANKS:
        return 0
    return rank % CALL_PRECEDENCE // RANKS_PER_PRIORITY
