//! Deserialisation of bounded whole numbers, with errors that say which values are expected.

use std::{fmt, marker::PhantomData};

use model::ByteSize;
use serde::{
    de::{Error, Visitor},
    Deserializer,
};

/// Deserialises a whole number from `MIN` to `MAX`, both included.
pub(crate) fn bounded<'de, D, T, const MIN: u64, const MAX: u64>(
    deserializer: D,
) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    // With `deserialize_u64`, serde_json would reject text before the visitor can report what is wrong with it.
    deserializer.deserialize_any(NumberVisitor::<T, MIN, MAX>(PhantomData))
}

/// Deserialises a size from `MIN` to `MAX` bytes, both included.
pub(crate) fn bounded_size<'de, D, const MIN: u64, const MAX: u64>(
    deserializer: D,
) -> Result<ByteSize, D::Error>
where
    D: Deserializer<'de>,
{
    bounded::<D, u64, MIN, MAX>(deserializer).map(ByteSize)
}

struct NumberVisitor<T, const MIN: u64, const MAX: u64>(PhantomData<T>);

impl<T: TryFrom<u64>, const MIN: u64, const MAX: u64> Visitor<'_> for NumberVisitor<T, MIN, MAX> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if MAX == u64::MAX {
            return write!(f, "a whole number of at least {MIN}");
        }
        write!(f, "a whole number from {MIN} to {MAX}")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<T, E> {
        if !(MIN..=MAX).contains(&number) {
            return Err(E::custom(format_args!(
                "{number} is out of range, expected {}",
                ExpectedNumber(&self)
            )));
        }
        T::try_from(number).map_err(|_| E::custom(format_args!("{number} is too large")))
    }

    // Rejects texts such as "5s" or "250 ms". The unit is part of the field's name, so that a file is never read with
    // another unit.
    fn visit_str<E: Error>(self, text: &str) -> Result<T, E> {
        Err(E::custom(format_args!(
            "text {text:?} is not allowed, expected {} without quotes; the unit is the end of the field's name",
            ExpectedNumber(&self)
        )))
    }
}

struct ExpectedNumber<'a, V>(&'a V);

impl<'de, V: Visitor<'de>> fmt::Display for ExpectedNumber<'_, V> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.expecting(f)
    }
}
