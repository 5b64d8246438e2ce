"""Assembly of ``peridotd`` and how it joins and leaves the fleet."""
