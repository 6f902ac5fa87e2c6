"""Adapter to the HTTP interfaces of the platform, described in its PROTOCOL and DEPLOY pages.

The modules translate names, formats and calls between the platform and wheelslip. Routing decisions
are made elsewhere.
"""
