"""What callers speak to: JSON lines over TCP, and the same vocabulary over WebSocket."""
