//! Organisations: whose requests a daemon accepts, and on which terms.
//!
//! If the route table names organisations, each request must carry a key of one of them, unless its
//! route is open to anyone. Only the digests of keys are kept and sent between daemons.

use macro_rules_attribute::apply;
use quick_error::quick_error;

use crate::derives::{message, value};
use crate::ids::OrganisationName;

/// The number of bytes of a key's digest that are kept.
const DIGEST_BYTES: usize = 16;

/// The importance of a request by the rank of its organisation's importance, from the most important,
/// and by the importance of its route. The last row and column also stand for all after them.
///
/// No request of a less important organisation comes before one of a more important organisation;
/// among organisations of the same importance the route decides.
const IMPORTANCES: [[u32; 3]; 3] = [[0, 0, 0], [0, 1, 2], [2, 3, 3]];

/// The digest of a key, from which the key cannot be recovered.
#[apply(value!)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &str) -> Self {
        let hash = blake3::hash(key.as_bytes());
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.as_bytes()[..DIGEST_BYTES]);
        Self(digest)
    }
}

/// Who sent a request, as its key proves.
#[apply(message!)]
pub struct Principal {
    /// The organisation that holds the key.
    pub organisation: OrganisationName,
    /// The digest of the key, by which it is found out later whether the key was withdrawn.
    pub key: KeyDigest,
}

/// The number of requests that an organisation may run, over all daemons together.
#[apply(message!)]
#[derive(Copy)]
pub struct Quota {
    /// The rate in requests per second.
    pub rate_per_s: f64,
    /// The number of requests that may run at once after a pause.
    pub burst: f64,
}

/// An organisation that sends requests.
#[apply(message!)]
pub struct Organisation {
    /// The name.
    pub name: OrganisationName,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// The importance of its requests, which takes precedence over that of the route; 0 is the most
    /// important.
    pub importance: Option<u32>,
    /// The quota; `None` if the organisation has no limit.
    pub quota: Option<Quota>,
}

/// All organisations at one version of the route table.
#[apply(message!)]
pub struct Organisations {
    /// The organisations, sorted by name.
    organisations: Vec<Organisation>,
    /// The digests of all keys with the index of the organisation that holds them, sorted.
    keys: Vec<(KeyDigest, u32)>,
    /// The different importances of organisations, sorted.
    importances: Vec<u32>,
}

quick_error! {
    /// Why organisations cannot be used.
    #[derive(Debug, PartialEq)]
    pub enum OrganisationsError {
        /// Two organisations have the same name.
        SameName(name: OrganisationName) {
            display("two organisations are named {}", name)
        }
        /// Two organisations hold the same key, so that it does not tell them apart.
        SharedKey(one: OrganisationName, other: OrganisationName) {
            display("organisations {} and {} hold the same key", one, other)
        }
        /// A rate or a burst is negative or not a number.
        InvalidQuota(name: OrganisationName) {
            display("the quota of organisation {} is negative or not a number", name)
        }
    }
}

impl Organisations {
    /// Creates a set of organisations in any order.
    ///
    /// # Errors
    ///
    /// Fails if a name or a key stands for two organisations, or if a quota is invalid.
    pub fn new(mut organisations: Vec<Organisation>) -> Result<Self, OrganisationsError> {
        organisations.sort_by(|one, other| one.name.cmp(&other.name));
        for pair in organisations.windows(2) {
            if pair[0].name == pair[1].name {
                return Err(OrganisationsError::SameName(pair[0].name.clone()));
            }
        }
        let mut keys = Vec::new();
        for (index, organisation) in organisations.iter().enumerate() {
            if organisation.quota.is_some_and(|quota| !quota.is_valid()) {
                let name = organisation.name.clone();
                return Err(OrganisationsError::InvalidQuota(name));
            }
            for key in &organisation.keys {
                keys.push((*key, index as u32));
            }
        }
        keys.sort_unstable();
        keys.dedup();
        for pair in keys.windows(2) {
            if pair[0].0 == pair[1].0 {
                let name = |index: u32| organisations[index as usize].name.clone();
                return Err(OrganisationsError::SharedKey(
                    name(pair[0].1),
                    name(pair[1].1),
                ));
            }
        }
        let mut importances = Vec::new();
        for organisation in &organisations {
            importances.extend(organisation.importance);
        }
        importances.sort_unstable();
        importances.dedup();
        Ok(Self {
            organisations,
            keys,
            importances,
        })
    }

    /// Returns the organisation with a name.
    pub fn get(&self, name: &OrganisationName) -> Option<&Organisation> {
        let index = self
            .organisations
            .binary_search_by(|organisation| organisation.name.cmp(name))
            .ok()?;
        Some(&self.organisations[index])
    }

    /// Returns the organisation that holds a key.
    pub fn holder(&self, key: KeyDigest) -> Option<&Organisation> {
        let index = self
            .keys
            .binary_search_by(|(digest, _)| digest.cmp(&key))
            .ok()?;
        Some(&self.organisations[self.keys[index].1 as usize])
    }

    /// Returns the importance of a request of an organisation on a route: that of the route, unless
    /// organisations differ in importance.
    pub fn importance(&self, organisation: &Organisation, route_importance: u32) -> u32 {
        let (Some(own), true) = (organisation.importance, self.importances.len() > 1) else {
            return route_importance;
        };
        let rank = self.importances.partition_point(|other| *other < own);
        let row = IMPORTANCES[rank.min(IMPORTANCES.len() - 1)];
        row[(route_importance as usize).min(row.len() - 1)]
    }

    /// Returns whether the key of a principal is still held by its organisation.
    pub fn accepts(&self, principal: &Principal) -> bool {
        let holder = self.holder(principal.key);
        holder.is_some_and(|organisation| organisation.name == principal.organisation)
    }

    /// Returns the organisations in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Organisation> {
        self.organisations.iter()
    }
}

impl Quota {
    fn is_valid(&self) -> bool {
        let is_count = |number: f64| number.is_finite() && number >= 0.0;
        is_count(self.rate_per_s) && is_count(self.burst)
    }
}
