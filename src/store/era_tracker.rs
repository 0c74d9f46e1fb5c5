//! Validation of the eras that the store states.

use std::fmt;

use super::Era;

/// What is wrong with the era in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraFault {
    /// It is not a number.
    NotANumber,
    /// It is missing, although an earlier response stated one.
    Missing,
    /// It is lower than that of a response that arrived before the call was sent.
    WentBack,
}

impl fmt::Display for EraFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotANumber => "not a number",
            Self::Missing => "missing after it was stated",
            Self::WentBack => "lower than before",
        })
    }
}

/// How a response relates to the newest era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraCheck {
    /// It is of the newest era.
    Current,
    /// It is the first one of a new era.
    New,
    /// It is of an earlier era, and its call was sent before the newest era was known.
    Late,
    /// Its era is invalid.
    Invalid(EraFault),
}

/// Tracks the newest era that the store stated.
#[derive(Debug, Clone, Copy, Default)]
pub struct EraTracker {
    newest: Era,
}

impl EraTracker {
    /// Returns the newest era.
    pub fn newest(&self) -> Era {
        self.newest
    }

    /// Checks the era in a response to a call that was sent when `sent_in` was the newest era.
    pub fn check(&mut self, sent_in: Era, stated: Option<&[u8]>) -> EraCheck {
        let era = match stated.map(parse) {
            Some(Some(number)) => Era::stated(number),
            Some(None) => return EraCheck::Invalid(EraFault::NotANumber),
            None => Era::UNSTATED,
        };
        if era > self.newest {
            self.newest = era;
            return EraCheck::New;
        }
        if era == self.newest {
            return EraCheck::Current;
        }
        if era >= sent_in {
            return EraCheck::Late;
        }
        EraCheck::Invalid(if era.is_stated() {
            EraFault::WentBack
        } else {
            EraFault::Missing
        })
    }
}

/// Returns the number in a header; signs are not accepted.
fn parse(value: &[u8]) -> Option<u64> {
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}
