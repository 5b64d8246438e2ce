"""The daemon's HTTP page for operators and for its host's targets."""
