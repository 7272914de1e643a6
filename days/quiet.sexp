; A quiet ten seconds: nothing fails, four exchanges, callers over UDP and TCP.
(day
  (name "quiet")
  (seconds 10)
  (seed 1)
  (exchanges 4)
  (rate 8)
  (traffic-type (name "part-lookup") (share 0.89) (circuits 1) (importance 1) (hold-s 2.5)
                (setup-objective-ms 1500) (no-answer-time-ms 9000) (late-share 0.1) (patience-s 3))
  (traffic-type (name "photo-match") (share 0.11) (circuits 2) (importance 3) (hold-s 2.5)
                (resource-priority "q735.2")
                (setup-objective-ms 2500) (no-answer-time-ms 9000) (late-share 0.25) (patience-s 4))
  (groups (mean 20) (spread 0.3))
  (callers (tcp 0.4)))
