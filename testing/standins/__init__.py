"""Small stand-ins of what is others': the platform's store and targets."""
