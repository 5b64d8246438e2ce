"""First run."""
