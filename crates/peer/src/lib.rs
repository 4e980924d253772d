//! Messages between hosts, over jsonrpsee
