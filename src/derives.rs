//! The common sets of derives, as attributes: `#[apply(value!)]`, `#[apply(message!)]`,
//! `#[apply(settings!)]`.

/// Derives for a small `Copy` type: an identifier, a measure, a plain choice.
macro_rules! value {
    ($($item:tt)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        $($item)*
    };
}

/// Derives for a type that travels between daemons or into a store.
macro_rules! message {
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        $($item)*
    };
}

/// Derives for settings: every field has a default and unknown fields are refused.
macro_rules! settings {
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(default, deny_unknown_fields)]
        $($item)*
    };
}
pub(crate) use {message, settings, value};
