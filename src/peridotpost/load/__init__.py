"""The load tool: open-loop arrivals, what callers receive, reports."""
