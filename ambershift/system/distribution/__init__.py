"""The tables of each pool, as the decision module orders them, and how they reach the proxies."""
