"""The load generator: open-loop arrivals, outcomes and reports."""
