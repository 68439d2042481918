"""Networking: connections, framings, protocol messages, links to booking servers, and an HTTP client."""
