"""Decision logic: pure modules without network, clock or global randomness.

Callers pass the time as a number of seconds and randomness as a
``random.Random``.
"""
