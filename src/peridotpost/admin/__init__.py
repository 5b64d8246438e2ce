"""HTTP API of the daemon for operators and for targets on its host."""
