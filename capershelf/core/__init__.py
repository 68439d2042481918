"""Requests, attempts and outcomes, and the thread that owns the decision module.  No socket, no wire."""
