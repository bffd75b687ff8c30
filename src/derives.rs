//! Macros that apply common sets of derives, as attributes: `#[apply(value!)]`,
//! `#[apply(message!)]`, `#[apply(settings!)]`.

/// Derives for a small `Copy` type, such as an identifier, a measurement or an enum without data.
macro_rules! value {
    ($($item:tt)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        $($item)*
    };
}

/// Derives for a type that is sent between daemons or stored.
macro_rules! message {
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        $($item)*
    };
}

/// Derives for settings: every field has a default and unknown fields are rejected.
macro_rules! settings {
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(default, deny_unknown_fields)]
        $($item)*
    };
}
pub(crate) use {message, settings, value};
