"""Distribution: the decision module's tables for each pool, and their way to the proxies."""
