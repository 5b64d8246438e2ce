"""Micro-kernel: services by name, hooks, timers and the time line."""
