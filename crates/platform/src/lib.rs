//! The object API and the host list, behind one trait
