"""Stand-ins for the systems that a router meets, each with faults that a script asks for."""
