"""Serving system for long prompts that come back after long gaps."""

__all__ = ["__version__"]

__version__ = "0.1.0"
