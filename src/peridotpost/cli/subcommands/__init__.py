"""The commands of ``peridotctl``, a module for each group of them."""
