//! A macro for enums whose variants each have one stable text.

/// Defines an enum whose variants each have one stable text, which is used in answers to callers, metric labels, logs
/// and settings. `$error` is the error of `FromStr`, with a field `expected` for what the text should name and a field
/// `text` for the rejected text. Further attributes, such as derives for serialisation, go before the name.
#[macro_export]
macro_rules! text_enum {
    (
        $(#[$meta:meta])*
        $name:ident, $expected:literal, $error:ident {
            $($(#[$vmeta:meta])* $variant:ident => $text:literal,)+
        }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$vmeta])* $variant,)+
        }

        impl $name {
            /// All variants in the order of their declaration.
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
                Err($error { expected: $expected, text: s.to_owned() })
            }
        }
    };
}
