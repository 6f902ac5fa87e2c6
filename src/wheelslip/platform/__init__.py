"""Adapter to the users' platform: names, formats and calls, both ways; it decides nothing.

Pages and sections are those of the platform's own description (PROTOCOL, DEPLOY).
"""
