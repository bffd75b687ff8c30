//! A macro for table-driven tests in which each case is a test with its own name.

/// Defines one test for each named case, which passes the case to the check function:
/// `cases! { check: name => case, ... }`.
macro_rules! cases {
    ($check:ident: $($name:ident => $case:expr,)+) => {
        $(
            #[test]
            fn $name() {
                $check($case);
            }
        )+
    };
}
