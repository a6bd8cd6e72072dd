"""HTTP stand-ins for the platform, engines and services, run as processes."""
