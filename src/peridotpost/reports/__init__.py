"""Reports that are derived from the logs of a fleet."""
