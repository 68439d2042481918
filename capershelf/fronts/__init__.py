"""Fronts for callers: JSON lines over TCP, and the same vocabulary over WebSocket."""
