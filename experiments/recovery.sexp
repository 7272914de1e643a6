; Whether service comes back in the last ten seconds after more of the exchanges were eight times as slow.
(experiment (name "recovery") (day "trouble.sexp") (measure "service_at_end")
  (policy (name "module")) (policy (name "direct") (base "direct"))
  (policy (name "nothing kept back") (change (old "        if self._is_held_back(dialog, direct):") (new "        if False:")))
  (factor (field "fault.0.share") (level 0.1 0.3 0.5 0.7 1))
  (factor (field "fault.0.factor") (level 8))
  (round 6) (most-seeds 12))
