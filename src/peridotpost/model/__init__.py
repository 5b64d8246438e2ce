"""Data classes used inside the system; no input or output."""
