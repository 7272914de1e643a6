; A Monday on which most things go wrong, some of them together. Five exchanges, one pair in five without a group,
; callers and exchanges over UDP and TCP. The figures are the stand-ins' own, scaled to one machine.
(day
  (name "bad-monday")
  (seconds 32)
  (seed 1)
  (exchanges 5)
  (rate 7)
  (skew 0.4)
  (exchange-tcp 0.3)
  (traffic-type (name "part-lookup") (share 0.89) (circuits 1) (importance 1) (hold-s 2.5)
                (setup-objective-ms 1500) (no-answer-time-ms 9000) (late-share 0.1) (patience-s 3))
  (traffic-type (name "photo-match") (share 0.11) (circuits 2) (importance 3) (hold-s 2.5)
                (resource-priority "q735.2")
                (setup-objective-ms 2500) (no-answer-time-ms 9000) (late-share 0.25) (patience-s 4))
  (groups (mean 13) (spread 0.4) (without 0.2))
  (processor (setup-ms 18) (transit-ms 9) (turn-away-after-ms 700))
  (callers (redials 3) (backoff-ms 700) (honour 0.7) (impatient 0.05) (tcp 0.35))
  (list (notice-ms 400) (silent-notice-ms 1500) (add-ms 300))
  (cold (from-share 0.35) (warm-after-ms 6000) (multiple 2.5) (span-ms 2000))
  (release-guard-ms 200)
  (drain-grace-ms 2000)

  ; the morning's burst over a slowed exchange
  (fault (kind burst) (at 2) (lasts 5) (factor 1.5))
  (fault (kind slow) (at 3) (lasts 5) (share 0.2) (factor 3))
  (fault (kind pauses) (at 5) (lasts 6) (share 0.4) (ms 350) (every-ms 1500))
  ; machines are replaced while the list runs late and packets are lost
  (fault (kind rolling) (at 7) (lasts 8) (share 0.4) (batch 1))
  (fault (kind stale-list) (at 8) (lasts 6) (ms 900))
  (fault (kind loss) (at 8) (lasts 10) (factor 0.03))
  (fault (kind duplication) (at 8) (lasts 10) (factor 0.03) (ms 60))
  (fault (kind reordering) (at 8) (lasts 10) (factor 0.05) (ms 40))
  ; answers go astray, one exchange falls silent, another is gone and comes back cold
  (fault (kind answers-lost) (at 10) (lasts 5) (share 0.2) (factor 0.6))
  (fault (kind silence) (at 12) (lasts 3) (share 0.2))
  (fault (kind vanish) (at 14) (lasts 3) (share 0.2))
  (fault (kind cut) (at 16) (share 0.4))
  (fault (kind messages-lost) (at 10) (lasts 10) (factor 0.5))
  ; killed outright: a proxy, an exchange
  (fault (kind kill-proxy) (at 17) (lasts 1.5) (share 0.2))
  (fault (kind kill-exchange) (at 19) (lasts 2) (share 0.2))
  ; a district is cut off while groups lose circuits and one proxy is flooded
  (fault (kind district-cut) (at 21) (lasts 3) (share 0.4))
  (fault (kind groups-shrink) (at 22) (lasts 4) (share 0.4) (factor 2))
  (fault (kind flood) (at 23) (lasts 4) (share 0.2) (factor 3))
  (fault (kind all-slow) (at 25) (lasts 3) (factor 2))
  (fault (kind mass-restart) (at 27) (lasts 1.5) (share 0.4))
  (fault (kind delay) (at 28) (lasts 2) (ms 30)))
