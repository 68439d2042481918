"""Sockets and parsers: connections, framings, links to booking servers, an HTTP client."""
