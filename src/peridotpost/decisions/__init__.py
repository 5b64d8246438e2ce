"""Decisions: pure modules without network, clock or global randomness.

Time comes in as a number of seconds, randomness as a ``random.Random``.
"""
