"""Stand-ins for external services: the platform's store and targets."""
