"""Stand-ins for the systems that a doorman meets, each with faults that a script asks for."""
