"""Stand-ins for external systems: the platform's store and the targets."""
