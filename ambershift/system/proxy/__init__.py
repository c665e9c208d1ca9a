"""The proxy: picks a backend for each request, forwards it, retries it, and passes the response on."""
