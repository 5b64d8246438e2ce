"""A randomized soak of the real programs, with faults from outside.

``peridot-proxy`` and the targets run as processes of their own on loopback
addresses; relays stand in every connection between them and the store.
Faults come in series and overlap; callers go on all the while.  At the end
what callers and targets saw is held against what the product promises.
"""
