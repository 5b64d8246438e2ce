"""Membership: live daemons, their availability zones and targets."""
