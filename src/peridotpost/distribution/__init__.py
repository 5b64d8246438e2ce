"""Distributes configuration versions and member records to all daemons."""
