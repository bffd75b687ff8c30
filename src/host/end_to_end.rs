//! The headers that are passed on from one connection to the next.

use hyper::header::{CONNECTION, HeaderMap};

use crate::request::Header;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [&str; 9] = [
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

/// Copies the headers that concern neither one connection nor, as `is_own` says, this side alone.
///
/// A value that is not visible ASCII is left out, with a log line.
pub fn forwarded_headers(header_map: &HeaderMap, is_own: impl Fn(&str) -> bool) -> Vec<Header> {
    let mut passed = Vec::new();
    for (name, value) in header_map {
        let name = name.as_str();
        if CONNECTION_HEADERS.contains(&name) || is_own(name) {
            continue;
        }
        if is_nominated(header_map, name) {
            continue;
        }
        let Ok(value) = value.to_str() else {
            log::warn!(target: "dragonflylug", "header {name} is left out: no visible ASCII");
            continue;
        };
        passed.push(Header {
            name: name.to_string(),
            value: value.to_string(),
        });
    }
    passed
}

/// Says whether the connection header names a header as one of its own.
fn is_nominated(header_map: &HeaderMap, name: &str) -> bool {
    for value in header_map.get_all(CONNECTION) {
        let names = value.to_str().unwrap_or_default();
        for nominated in names.split(',') {
            if nominated.trim().eq_ignore_ascii_case(name) {
                return true;
            }
        }
    }
    false
}
