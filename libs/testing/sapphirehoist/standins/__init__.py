"""Stand-ins that run as processes of their own and speak HTTP."""
