; What two troubles at once cost beyond their sum: half of the exchanges slow, half of them with groups of a third.
(experiment (name "both") (day "trouble.sexp") (measure "service")
  (policy (name "module")) (policy (name "direct") (base "direct"))
  (factor (field "fault.0.factor") (level 1 6))
  (factor (field "fault.1.factor") (level 1 3))
  (round 10) (most-seeds 20))
