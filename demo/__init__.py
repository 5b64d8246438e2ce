"""Demo of a small mesh on one machine."""
