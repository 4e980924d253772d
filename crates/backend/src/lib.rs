//! Backend servers: requests, token streams, orders, load reports, cache events
