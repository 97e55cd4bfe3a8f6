"""Stand-ins of the platform and the demo."""
