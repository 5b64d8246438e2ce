"""Membership, target discovery, configuration and releases of a proxy."""
