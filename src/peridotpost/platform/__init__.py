"""The adapter to the platform: its store, message formats and names.

This package only translates; decisions and state are elsewhere.
"""
