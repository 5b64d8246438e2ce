"""The adapter to the platform: its store, its texts, its names.

Everything here translates; decisions and state are elsewhere.
"""
