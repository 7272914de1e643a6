; How service falls as more of the exchanges are eight times as slow.
(experiment (name "tipping") (day "trouble.sexp") (measure "service")
  (policy (name "module")) (policy (name "direct") (base "direct"))
  (policy (name "nothing kept back") (change (old "        if self._is_held_back(dialog, direct):") (new "        if False:")))
  (factor (field "fault.0.share") (level 0.1 0.3 0.5 0.7 1))
  (factor (field "fault.0.factor") (level 8))
  (round 6) (most-seeds 12))
