//! Selects the end-to-end headers of a request or response, which a proxy forwards to the next
//! connection.

use hyper::header::{CONNECTION, HeaderMap};

use crate::request::Header;

/// Headers that are not forwarded: the hop-by-hop headers, which apply to one connection only, and
/// `content-length`, because the body is sent anew.
const REMOVED_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Copies the end-to-end headers, without those that, according to `is_own`, are meant for this
/// daemon.
///
/// Leaves out and logs a header whose value is not visible ASCII.
pub fn forwarded_headers(header_map: &HeaderMap, is_own: impl Fn(&str) -> bool) -> Vec<Header> {
    let mut forwarded = Vec::new();
    for (name, value) in header_map {
        let name = name.as_str();
        if REMOVED_HEADERS.contains(&name) || is_own(name) {
            continue;
        }
        if is_listed_in_connection(header_map, name) {
            continue;
        }
        let Ok(value) = value.to_str() else {
            log::warn!(target: "dragonflylug", "header {name} is not forwarded: its value is not visible ASCII");
            continue;
        };
        forwarded.push(Header {
            name: name.to_string(),
            value: value.to_string(),
        });
    }
    forwarded
}

/// Returns whether the `Connection` header lists a header as hop-by-hop.
fn is_listed_in_connection(header_map: &HeaderMap, name: &str) -> bool {
    for value in header_map.get_all(CONNECTION) {
        let names = value.to_str().unwrap_or_default();
        for listed in names.split(',') {
            if listed.trim().eq_ignore_ascii_case(name) {
                return true;
            }
        }
    }
    false
}
