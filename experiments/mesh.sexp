; A working hour squeezed into half a minute: a mesh with some pairs without a group, one far end in five slow for a while,
; one machine gone and back, answers lost. The exchanges, the load and the trouble are an experiment's factors.
(day
  (name "mesh")
  (seconds 30)
  (exchanges 20)
  (rate 6)
  (skew 0.3)
  (traffic-type (name "part-lookup") (share 0.89) (circuits 1) (importance 1) (hold-s 2.5)
                (setup-objective-ms 1500) (no-answer-time-ms 9000) (late-share 0.1) (patience-s 3))
  (traffic-type (name "photo-match") (share 0.11) (circuits 2) (importance 3) (hold-s 2.5) (resource-priority "q735.2")
                (setup-objective-ms 2500) (no-answer-time-ms 9000) (late-share 0.25) (patience-s 4))
  (groups (mean 4) (spread 0.4) (without 0.2))
  (processor (setup-ms 18) (transit-ms 9))
  (cold (from-share 0.35) (warm-after-ms 6000) (multiple 2.5) (span-ms 2000))
  (fault (kind slow) (at 8) (lasts 8) (share 0.2) (factor 4))
  (fault (kind vanish) (at 10) (lasts 4) (share 0.1))
  (fault (kind answers-lost) (at 12) (lasts 6) (share 0.2) (factor 0.5))
  (fault (kind burst) (at 20) (lasts 5) (factor 1.6)))
