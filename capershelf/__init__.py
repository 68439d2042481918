"""capershelf: decisions of a call controller in front of a few shared core switches."""

from capershelf.control import Controller
from capershelf.interface import Settings

__all__ = ["Controller", "Settings"]
