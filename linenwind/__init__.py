"""linenwind: decisions of a call controller in front of a few shared core switches."""

from linenwind.control import Controller
from linenwind.interface import Settings

__all__ = ["Controller", "Settings"]
