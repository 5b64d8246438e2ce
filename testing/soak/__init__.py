"""Randomized fault-injection soak test of the real programs.

``peridot-proxy`` and the targets run as separate processes on loopback
addresses, and every connection between them and to the store goes through a
relay.  Overlapping series of faults are injected while callers keep sending
requests.  Afterwards the records of callers and targets are checked against
the invariants of the product.
"""
