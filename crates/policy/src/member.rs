//! Membership of hosts and backend servers, and what spreads among hosts.
