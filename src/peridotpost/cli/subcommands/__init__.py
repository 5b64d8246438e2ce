"""Commands of ``peridotctl``, grouped by module."""
