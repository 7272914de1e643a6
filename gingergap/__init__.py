"""Routing and admission of dialogs at a signalling proxy."""
