"""Carries accepted versions and members' records to every daemon."""
