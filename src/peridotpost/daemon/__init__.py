"""``peridotd`` as a whole: its parts, how it joins and how it leaves."""
