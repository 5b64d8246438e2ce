"""Process infrastructure: service registry, hooks, timers, logs, events."""
