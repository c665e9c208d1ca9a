"""The proxy: requests in, a backend picked from the table, attempts, answers."""
