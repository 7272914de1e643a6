"""Background work of one process, run in the time that calls do not need. What runs next is decided without I/O
(task_scheduler.py); a runner executes it in greenlets (runner.py)."""
