//! Identifies a request by its content, which is the same in each attempt at each daemon.

use std::borrow::Cow;

use macro_rules_attribute::apply;

use crate::derives::value;
use crate::ids::{Caller, ServiceName};
use crate::request::{CallRequest, HttpRequest, PeerCall};

/// A fast hash of a request without the content of its body. Requests with the same fingerprint have
/// the same outline, so it tells for most requests that their fingerprint is not needed.
#[apply(value!)]
pub struct RequestOutline(pub u64);

/// A cryptographic digest of method, caller, scope, path and body of a request, which nobody can
/// give to a different request.
#[apply(value!)]
pub struct RequestFingerprint {
    /// The outline of the request.
    pub outline: RequestOutline,
    /// The digest.
    pub digest: [u64; 2],
}

impl std::fmt::Display for RequestFingerprint {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{:016x}{:016x}", self.digest[0], self.digest[1])
    }
}

/// The parts of a request that identify it.
pub struct RequestContent<'a> {
    /// The host of a routed request, since its route may lead to other services later; the service
    /// of any other request.
    scope: Cow<'a, str>,
    caller: &'a Caller,
    http: &'a HttpRequest,
}

impl<'a> RequestContent<'a> {
    /// Returns the content of a request at its entry daemon.
    pub fn of_call(request: &'a CallRequest) -> Self {
        Self {
            scope: scope(request.routed.is_some(), &request.service, &request.http),
            caller: &request.caller,
            http: &request.http,
        }
    }

    /// Returns the content of a request at its guard.
    pub fn of_peer_call(call: &'a PeerCall) -> Self {
        Self {
            scope: scope(call.route.is_some(), &call.service, &call.http),
            caller: &call.caller,
            http: &call.http,
        }
    }

    /// Returns the outline of the request.
    pub fn outline(&self) -> RequestOutline {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for part in self.parts_before_body() {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(&(self.http.body.len() as u64).to_le_bytes());
        RequestOutline(hasher.digest())
    }

    /// Returns the fingerprint of the request.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let mut hasher = blake3::Hasher::new();
        for part in self.parts_before_body() {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(&self.http.body);
        let mut digest = [0; 2];
        for (half, bytes) in digest
            .iter_mut()
            .zip(hasher.finalize().as_bytes().chunks(8))
        {
            let bytes: [u8; 8] = bytes.try_into().unwrap_or_default();
            *half = u64::from_le_bytes(bytes);
        }
        RequestFingerprint {
            outline: self.outline(),
            digest,
        }
    }

    fn parts_before_body(&self) -> [&[u8]; 4] {
        [
            self.http.method.as_bytes(),
            self.scope.as_bytes(),
            self.caller.as_str().as_bytes(),
            self.http.path.as_bytes(),
        ]
    }
}

fn scope<'a>(is_routed: bool, service: &'a ServiceName, http: &'a HttpRequest) -> Cow<'a, str> {
    if !is_routed {
        return Cow::Borrowed(service.as_str());
    }
    for header in &http.headers {
        if header.name == "host" {
            let host = header.value.split(':').next().unwrap_or_default();
            return Cow::Owned(host.to_ascii_lowercase());
        }
    }
    Cow::Borrowed("")
}
