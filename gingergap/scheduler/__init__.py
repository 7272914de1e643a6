"""Background work of a process: one owner of all time that calls don't need. What runs next is decided without I/O
(task_scheduler.py); the runner runs it in greenlets."""
