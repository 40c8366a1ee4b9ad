//! Parses words as typed values: times, sizes, rates, shares, counts, times of day, networks, ranges of numbers and
//! names.
//!
//! A missing unit is an error, and so is a unit of another kind than the expected one.

mod ranges;
mod units;

use crate::diagnostic::{truncated, Diagnostic};
use crate::files::Span;
use crate::syntax::Word;
use ipnet::IpNet;
use std::net::IpAddr;
use std::time::Duration;
use thiserror::Error;

pub use ranges::{MinuteRange, NumberRange};

const MINUTES_PER_HOUR: u32 = 60;
/// Number of minutes in a day.
pub const MINUTES_PER_DAY: u32 = 24 * MINUTES_PER_HOUR;

/// Maximum number of characters of a name or a pattern.
const MAX_NAME_CHARS: usize = 64;
/// Maximum number of `*` in a pattern.
const MAX_WILDCARDS: usize = 4;

/// Kind of a value, which determines its syntax.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueKind {
    /// A duration: `5ms`, `1.5s`, `2min`, `1h`.
    Time,
    /// An amount of data: `512B`, `64KiB`, `10MiB`, `1GiB`.
    Size,
    /// A number of events per time: `50/s`, `3000/min`.
    Rate,
    /// An amount of data per time: `10MiB/s`.
    ByteRate,
    /// A percentage from 0 to 100: `30%`.
    Share,
    /// A whole number of at least 1, without a unit.
    Count,
    /// A range of times of day: `06:00..20:00`. It may extend over midnight.
    TimesOfDay,
    /// An IP network, `10.1.0.0/16` or `2001:db8::/32`, or a single address.
    Network,
    /// A whole number or an inclusive range: `17`, `20..30`.
    Numbers,
    /// A name of a block, a class, a tenant, a kind or a zone.
    Name,
    /// A name in which `*` stands for any number of characters.
    Pattern,
    /// A quoted text.
    Text,
}

impl ValueKind {
    /// Returns the description of an expected value of this kind for error messages, with examples.
    pub fn expected(self) -> &'static str {
        match self {
            ValueKind::Time => "a time (for example 250ms, 1.5s or 2min)",
            ValueKind::Size => "a size (for example 512B, 64KiB or 10MiB)",
            ValueKind::Rate => "a rate (for example 50/s or 3000/min)",
            ValueKind::ByteRate => "a byte rate (for example 10MiB/s)",
            ValueKind::Share => "a share (for example 30%)",
            ValueKind::Count => "a whole number (for example 300)",
            ValueKind::TimesOfDay => "hours of the day (for example 06:00..20:00)",
            ValueKind::Network => "a network (for example 10.1.0.0/16 or 2001:db8::/32)",
            ValueKind::Numbers => "a number or a range (for example 17 or 20..30)",
            ValueKind::Name => "a name",
            ValueKind::Pattern => "a name pattern, in which `*` stands for any characters",
            ValueKind::Text => "a quoted text",
        }
    }

    /// Returns the description of a value of this kind that was found instead of another kind.
    fn description(self) -> &'static str {
        match self {
            ValueKind::Time => "a time",
            ValueKind::Size => "a size",
            ValueKind::Rate => "a rate",
            ValueKind::ByteRate => "a byte rate",
            ValueKind::Share => "a share",
            ValueKind::Count => "a number without a unit",
            ValueKind::TimesOfDay => "hours of the day",
            ValueKind::Network => "a network",
            ValueKind::Numbers => "a range of numbers",
            ValueKind::Name | ValueKind::Pattern => "a name",
            ValueKind::Text => "a text",
        }
    }
}

/// A parsed value, in base units.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A duration in whole microseconds, greater than 0 and at most 7 days.
    Time(Duration),
    /// Number of bytes, at least 1.
    Size(u64),
    /// Events per second, greater than 0.
    Rate(f64),
    /// Bytes per second, greater than 0.
    ByteRate(f64),
    /// Fraction, 0 to 1.
    Share(f64),
    /// Whole number, at least 1.
    Count(u64),
    /// Range of minutes of the day.
    TimesOfDay(MinuteRange),
    /// IP network without host bits; a single address has the full prefix length.
    Network(IpNet),
    /// Range of whole numbers; a single number is a range of one.
    Numbers(NumberRange),
    /// Valid name, see [`is_name`].
    Name(String),
    /// Name in which `*` stands for any number of characters.
    Pattern(String),
    /// Any text, without the quotes.
    Text(String),
}

/// Error for a word that is not a valid value of the expected kind.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{text}")]
pub struct ValueError {
    /// Error message with the word and the expected kind of value.
    pub text: String,
    /// Suggested correction, if there is one.
    pub help: Option<String>,
}

impl ValueError {
    fn new(text: impl Into<String>) -> Self {
        ValueError {
            text: text.into(),
            help: None,
        }
    }

    /// Creates the error for a word that is not a value of `kind`. `description` states what was found: `found ...`.
    fn not(word: &str, description: &str, kind: ValueKind) -> Self {
        ValueError::new(format!(
            "expected {1}, {description} `{0}`",
            truncated(word),
            kind.expected()
        ))
    }

    fn help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }

    /// Converts the error to a diagnostic at the location of the word.
    pub fn into_diagnostic(self, span: Span) -> Diagnostic {
        Diagnostic {
            help: self.help,
            ..Diagnostic::new(span, self.text)
        }
    }
}

/// Parses a word as a value of a kind.
///
/// # Errors
///
/// Fails if the word is not valid for the kind, or is quoted and should not be, or the reverse.
pub fn parse(kind: ValueKind, word: &Word) -> Result<Value, ValueError> {
    let text = word.text.as_str();
    match (word.is_quoted, kind == ValueKind::Text) {
        (true, false) => return Err(ValueError::not(text, "found the quoted text", kind)),
        (false, true) => return Err(ValueError::not(text, "found the unquoted word", kind)),
        _ => {}
    }
    match kind {
        ValueKind::Text => Ok(Value::Text(text.to_string())),
        ValueKind::Name => name(text),
        ValueKind::Pattern => pattern(text),
        ValueKind::TimesOfDay => times_of_day(text),
        ValueKind::Network => network(text),
        ValueKind::Numbers => numbers(text),
        ValueKind::Time
        | ValueKind::Size
        | ValueKind::Rate
        | ValueKind::ByteRate
        | ValueKind::Share
        | ValueKind::Count => units::number_with_unit(kind, text),
    }
}

/// Returns whether a word is a valid name: at most 64 ASCII letters, digits, `-`, `_` and `.`, starting with a letter
/// or digit.
pub fn is_name(word: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    word.len() <= MAX_NAME_CHARS
        && word.starts_with(|c: char| c.is_ascii_alphanumeric())
        && word.chars().all(is_allowed)
}

fn name(word: &str) -> Result<Value, ValueError> {
    if is_name(word) {
        return Ok(Value::Name(word.to_string()));
    }
    let help = "a name starts with a letter or digit, contains only letters, digits, `-`, `_` and `.`, and has at most 64 characters";
    Err(ValueError::new(format!("invalid name `{}`", truncated(word))).help(help))
}

fn pattern(word: &str) -> Result<Value, ValueError> {
    let wildcards = word.matches('*').count();
    if wildcards <= MAX_WILDCARDS && is_name(&word.replace('*', "0")) {
        return Ok(Value::Pattern(word.to_string()));
    }
    let help = "a pattern contains only letters, digits, `-`, `_`, `.` and at most four `*`, and has at most 64 characters";
    Err(ValueError::new(format!("invalid pattern `{}`", truncated(word))).help(help))
}

fn times_of_day(word: &str) -> Result<Value, ValueError> {
    let no_range = || ValueError::not(word, "found invalid hours", ValueKind::TimesOfDay);
    let (from, until) = word.split_once("..").ok_or_else(no_range)?;
    let from = minute_of_day(from).ok_or_else(no_range)?;
    let until = minute_of_day(until).ok_or_else(no_range)?;
    if from % MINUTES_PER_DAY == until % MINUTES_PER_DAY {
        let text = format!(
            "start and end of `{}` are the same time of day",
            truncated(word)
        );
        return Err(ValueError::new(text).help("omit the entry to match the whole day"));
    }
    let from = from % MINUTES_PER_DAY;
    Ok(Value::TimesOfDay(MinuteRange { from, until }))
}

/// Formats a minute of the day as `HH:MM`.
pub(crate) fn time_of_day(minute_of_day: u32) -> String {
    let hour = minute_of_day / MINUTES_PER_HOUR;
    let minute = minute_of_day % MINUTES_PER_HOUR;
    format!("{hour:02}:{minute:02}")
}

/// Parses `HH:MM`, up to and including `24:00`, as a minute of the day.
fn minute_of_day(text: &str) -> Option<u32> {
    let (hour, minute) = text.split_once(':')?;
    let hour = two_digits(hour)?;
    let minute = two_digits(minute)?;
    let minute_of_day = hour * MINUTES_PER_HOUR + minute;
    (minute < MINUTES_PER_HOUR && minute_of_day <= MINUTES_PER_DAY).then_some(minute_of_day)
}

fn two_digits(text: &str) -> Option<u32> {
    let is_two_digits = text.len() == 2 && text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| is_two_digits)
}

fn network(word: &str) -> Result<Value, ValueError> {
    if let Ok(address) = word.parse::<IpAddr>() {
        return Ok(Value::Network(IpNet::from(address)));
    }
    let network: IpNet = word
        .parse()
        .map_err(|_| ValueError::not(word, "found invalid network", ValueKind::Network))?;
    if network.trunc() == network {
        return Ok(Value::Network(network));
    }
    let text = format!("network `{}` has host bits set", truncated(word));
    Err(ValueError::new(text).help(format!(
        "did you mean the network `{}` or the single address `{}`?",
        network.trunc(),
        network.addr()
    )))
}

fn numbers(word: &str) -> Result<Value, ValueError> {
    let (first, last) = word.split_once("..").unwrap_or((word, word));
    let no_number = |_| ValueError::not(word, "found invalid number", ValueKind::Numbers);
    let first: u32 = first.parse().map_err(no_number)?;
    let last: u32 = last.parse().map_err(no_number)?;
    if first <= last {
        return Ok(Value::Numbers(NumberRange { first, last }));
    }
    let text = format!(
        "start of range `{}` is greater than its end",
        truncated(word)
    );
    Err(ValueError::new(text).help(format!("did you mean `{last}..{first}`?")))
}
