"""Stand-ins and process control shared by the cases 4 to 8."""
