"""Members of the council in the world to test in: registers, offices, fences and the export, in schedules."""
