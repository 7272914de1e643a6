"""What a proxy keeps over restarts: what it learned, the list's last word, dialogs that stand, counters of tokens."""
