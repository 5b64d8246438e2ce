"""Tests and their shared helpers."""
