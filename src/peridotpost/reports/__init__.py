"""What the logs of a fleet tell afterwards."""
