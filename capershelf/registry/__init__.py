"""Clients of the registries that list the booking servers."""
