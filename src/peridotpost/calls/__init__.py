"""Carries a caller's request to a target and the whole answer back."""
