"""The operator's console of an appliance: commands over a Unix socket that only its owner can use.

It issues drains and purges, and shows the state of the other components; it takes no part in routing. Entry
points: `admin_console.AdminConsole` and `server.create_front` in the router, `client.run_session` on the
operator's side.
"""
