"""Many real doormans as processes, faults between them, and judges that read only the record of the rig.

It never looks into a doorman and never touches a process that it did not start. Entry point: `play.play`.
"""
