//! Header fields that concern one connection only.

use http::{HeaderMap, HeaderName, header};

/// Hop-by-hop fields of RFC 9110, section 7.6.1, and those of HTTP/1.0 proxies.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Removes the hop-by-hop fields, including those that `Connection` names.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> =
        names(headers, &header::CONNECTION).filter_map(|name| name.parse().ok()).collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Returns the elements of a comma-separated field, over all its lines.
pub(crate) fn names<'a>(
    headers: &'a HeaderMap,
    field: &HeaderName,
) -> impl Iterator<Item = &'a str> + use<'a> {
    headers
        .get_all(field)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
}
