"""The operator's console of an appliance: commands over a Unix socket that only its owner can use.

It never picks a server; it orders drains and purges, and shows what the other parts know. Entry points:
`admin_console.AdminConsole` and `server.serve_terminal` (in the router), `client.talk` (the operator's side).
"""
