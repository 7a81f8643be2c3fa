//! Serialization of structs as arrays. The stored form of a snapshot has arrays where the code has structs with
//! named fields.

/// Implements the conversions between a struct and a tuple of its fields for serde's `from` and `into`.
macro_rules! impl_array_form {
    ($type:ident { $($field:ident: $kind:ty),+ $(,)? }) => {
        impl From<($($kind,)+)> for $type {
            fn from(($($field,)+): ($($kind,)+)) -> Self {
                $type { $($field),+ }
            }
        }

        impl From<$type> for ($($kind,)+) {
            fn from(value: $type) -> Self {
                ($(value.$field,)+)
            }
        }
    };
}

pub(super) use impl_array_form;
