//! Closed sets of values with one stable text each.

/// Makes an enum whose values each have one stable text: what callers get, what labels a counter, what the log says and
/// what settings are written with. The error type has the fields `set` and `text`. Further attributes, such as derives of
/// a codec, stand before the name.
#[macro_export]
macro_rules! text_enum {
    (
        $(#[$meta:meta])*
        $name:ident, $set:literal, $error:ident {
            $($(#[$vmeta:meta])* $variant:ident => $text:literal,)+
        }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$vmeta])* $variant,)+
        }

        impl $name {
            /// Every value of the set, in a fixed order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// The stable text.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $error;

            fn from_str(s: &str) -> ::std::result::Result<Self, $error> {
                for value in Self::ALL {
                    if value.as_str() == s {
                        return Ok(*value);
                    }
                }
                Err($error { set: $set, text: s.to_owned() })
            }
        }
    };
}
