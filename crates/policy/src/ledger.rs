//! The only promise of accelerator memory: residents and reservations of each server.
