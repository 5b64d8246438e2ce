"""Validated models of all external input."""
