//! Reads words as typed values: times, sizes, rates, shares, counts, times of day, networks, ranges of numbers, names.
//!
//! A number without a unit where one is needed is an error, and so is a unit of another kind.

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
/// Minutes of a day.
pub const MINUTES_PER_DAY: u32 = 24 * MINUTES_PER_HOUR;

/// Characters of a name or a pattern.
const MAX_NAME_CHARS: usize = 64;
/// `*` in a pattern.
const MAX_WILDCARDS: usize = 4;

/// What a value is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueKind {
    /// `5ms`, `1.5s`, `2min`, `1h`.
    Time,
    /// `512B`, `64KiB`, `10MiB`, `1GiB`.
    Size,
    /// `50/s`, `3000/min`.
    Rate,
    /// Bytes over time: `10MiB/s`.
    ByteRate,
    /// `30%`, 0 to 100.
    Share,
    /// A whole number from 1.
    Count,
    /// A range of times of day: `06:00..20:00`; over midnight too.
    TimesOfDay,
    /// `10.1.0.0/16`, `2001:db8::/32`, or one address.
    Network,
    /// A whole number or a range of such: `17`, `20..30`.
    Numbers,
    /// A name that refers to something.
    Name,
    /// A name with `*` for any characters.
    Pattern,
    /// Any text in quotes.
    Text,
}

impl ValueKind {
    /// What a message asks for where a value of this kind belongs, with an example.
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

    /// What a message calls a value of this kind where another one is expected.
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

/// A value in base units.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A time, in whole microseconds.
    Time(Duration),
    /// Bytes.
    Size(u64),
    /// Events a second.
    Rate(f64),
    /// Bytes a second.
    ByteRate(f64),
    /// A fraction, 0 to 1.
    Share(f64),
    /// A whole number.
    Count(u64),
    /// A range of times of day.
    TimesOfDay(MinuteRange),
    /// A network.
    Network(IpNet),
    /// A range of whole numbers, or one.
    Numbers(NumberRange),
    /// A name.
    Name(String),
    /// A name with `*` for any characters.
    Pattern(String),
    /// Any text.
    Text(String),
}

/// Why a word is no value of a kind.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{text}")]
pub struct ValueError {
    /// What is wrong.
    pub text: String,
    /// What to write instead.
    pub help: Option<String>,
}

impl ValueError {
    fn new(text: impl Into<String>) -> Self {
        ValueError {
            text: text.into(),
            help: None,
        }
    }

    /// The word is something else than a value of a kind.
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

    /// The diagnostic of the word at a place.
    pub fn at(self, span: Span) -> Diagnostic {
        Diagnostic {
            help: self.help,
            ..Diagnostic::new(span, self.text)
        }
    }
}

/// Reads a word as a value of a kind.
///
/// # Errors
///
/// Where the word, or its being in quotes or not, does not fit the kind.
pub fn read(kind: ValueKind, word: &Word) -> Result<Value, ValueError> {
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

/// Whether a word can be a name: a letter or digit first, then also `-`, `_` and `.`.
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

/// A minute of the day as `HH:MM`.
pub(crate) fn time_of_day(minute_of_day: u32) -> String {
    let hour = minute_of_day / MINUTES_PER_HOUR;
    let minute = minute_of_day % MINUTES_PER_HOUR;
    format!("{hour:02}:{minute:02}")
}

/// The minute of the day of `HH:MM`, up to and with `24:00`.
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
