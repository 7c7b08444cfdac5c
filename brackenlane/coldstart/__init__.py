"""When a router that starts asks for what: its turn at the store, what it reads there, the phase it is in.

Pure decisions; never a socket, never a server picked. Entry points: `pace.Pace`, `reading.continues`,
`phases.Phases`.
"""
