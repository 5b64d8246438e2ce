"""A model of targets, guards and callers around the real decisions.

The modules of ``decisions`` are the ones that run in the daemons; only
time, network, targets and callers are simulated, so that a day of load
takes seconds and two policies meet the very same requests.
"""
