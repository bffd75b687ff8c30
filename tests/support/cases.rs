//! The macro that names each case of a table.

/// Makes one test for each named case: `cases! { check: name => case, ... }`.
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
