//! Eras of the store, and versions within them.

use std::fmt;

use serde::{
    de::{SeqAccess, Visitor},
    Deserialize, Deserializer, Serialize, Serializer,
};

/// The era of the store, which grows by one each time the store comes back from an older copy; a store
/// that states no era has a single one, which precedes all others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(Option<u64>);

impl Era {
    /// The era of a store that states none.
    pub const UNSTATED: Self = Self(None);

    /// Returns the era that the store stated as `number`.
    pub fn stated(number: u64) -> Self {
        Self(Some(number))
    }

    /// Returns whether the store stated the era.
    pub fn is_stated(self) -> bool {
        self.0.is_some()
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(number) => number.fmt(f),
            None => f.write_str("unstated"),
        }
    }
}

/// A version of the store within its era; those of later eras are newer, whatever their numbers.
///
/// Encoded as a number if the era is unstated, as in earlier builds, and otherwise as a pair.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreVersion {
    /// The era.
    pub era: Era,
    /// The version, which is unique within its era only.
    pub number: u64,
}

impl StoreVersion {
    /// Returns the version `number` of `era`.
    pub fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }
}

impl From<u64> for StoreVersion {
    /// Returns a version of a store that states no era.
    fn from(number: u64) -> Self {
        Self::new(Era::UNSTATED, number)
    }
}

impl fmt::Debug for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era.0 {
            Some(era) => write!(f, "{era}/{}", self.number),
            None => self.number.fmt(f),
        }
    }
}

impl Serialize for StoreVersion {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self.era.0 {
            Some(era) => (era, self.number).serialize(serializer),
            None => self.number.serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for StoreVersion {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(VersionVisitor)
    }
}

struct VersionVisitor;

impl<'de> Visitor<'de> for VersionVisitor {
    type Value = StoreVersion;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a version, or a pair of era and version")
    }

    fn visit_u64<E>(self, number: u64) -> Result<StoreVersion, E> {
        Ok(number.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<StoreVersion, A::Error> {
        let missing = || serde::de::Error::custom("expected era and version");
        let era = seq.next_element()?.ok_or_else(missing)?;
        let number = seq.next_element()?.ok_or_else(missing)?;
        Ok(StoreVersion::new(Era::stated(era), number))
    }
}
