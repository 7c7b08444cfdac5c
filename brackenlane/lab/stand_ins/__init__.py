"""Stand-ins for the systems that a router connects to, with faults that can be injected."""
