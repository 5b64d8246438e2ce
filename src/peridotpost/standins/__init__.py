"""Small stand-ins for what is others': the platform and the targets."""
