"""Who else is there, which targets they guard, which configuration holds."""
