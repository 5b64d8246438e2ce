"""The call path: from a caller's request to a target's complete answer."""
