"""The running signalling proxy: SIP in, events to the decision module, its decisions out as SIP."""
