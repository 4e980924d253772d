//! The host's program: filters joined in a row, three listeners, duties
