"""Discrete-event simulation of a fleet around the production decisions.

The modules of ``decisions`` are the ones that run in the daemons.  Time,
network, targets and callers are simulated, so that a day of load takes
seconds and two policies are compared on the same requests.
"""
