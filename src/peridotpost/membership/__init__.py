"""Who is alive, in which availability zone, with which targets."""
