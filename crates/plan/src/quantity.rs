//! Words as values: times, sizes, rates, shares, counts, times of day, networks, ranges of numbers. A number without
//! a unit where one is needed is a fault, and so is a unit of another kind.

use crate::fault::shown;
use ipnet::IpNet;
use std::net::IpAddr;
use std::time::Duration;

/// A day in minutes.
pub const DAY: u32 = 24 * 60;

/// What a value is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// `5ms`, `1.5s`, `2min`, `1h`.
    Time,
    /// `512B`, `64KiB`, `10MiB`, `1GiB`.
    Size,
    /// `50/s`, `3000/min`.
    Rate,
    /// Bytes a time: `10MiB/s`.
    Flow,
    /// `30%`, 0 to 100.
    Share,
    /// A whole number from 1.
    Count,
    /// A time of day and another: `06:00..20:00`; over midnight too.
    Clock,
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

impl Kind {
    /// For messages: the kind with an example.
    pub fn wanted(self) -> &'static str {
        match self {
            Kind::Time => "a time such as 250ms, 1.5s or 2min",
            Kind::Size => "a size such as 512B, 64KiB or 10MiB",
            Kind::Rate => "a rate such as 50/s or 3000/min",
            Kind::Flow => "bytes over time such as 10MiB/s",
            Kind::Share => "a share such as 30%",
            Kind::Count => "a whole number such as 300",
            Kind::Clock => "hours of the day such as 06:00..20:00",
            Kind::Network => "a network such as 10.1.0.0/16 or 2001:db8::/32",
            Kind::Numbers => "a number or a range such as 17 or 20..30",
            Kind::Name => "a name",
            Kind::Pattern => "a name, with `*` for any characters",
            Kind::Text => "a text in quotes",
        }
    }

    /// For messages on a value of another kind.
    fn is(self) -> &'static str {
        match self {
            Kind::Time => "a time",
            Kind::Size => "a size",
            Kind::Rate => "a rate",
            Kind::Flow => "bytes over time",
            Kind::Share => "a share",
            Kind::Count => "a number without a unit",
            Kind::Clock => "hours of the day",
            Kind::Network => "a network",
            Kind::Numbers => "a range of numbers",
            Kind::Name | Kind::Pattern => "a name",
            Kind::Text => "a text",
        }
    }
}

/// A value with its unit taken in.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Time(Duration),
    /// Bytes.
    Size(u64),
    /// Each second.
    Rate(f64),
    /// Bytes each second.
    Flow(f64),
    /// 0 to 1.
    Share(f64),
    Count(u64),
    /// Minutes of the day: from, until (excluded).
    Clock(u32, u32),
    Network(IpNet),
    /// From, to (included).
    Numbers(u32, u32),
    Name(String),
    Pattern(String),
    Text(String),
}

/// Why a word is no value of the wanted kind, and a suggestion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    pub text: String,
    pub help: Option<String>,
}

impl Wrong {
    fn new(text: impl Into<String>) -> Self {
        Wrong {
            text: text.into(),
            help: None,
        }
    }

    fn help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }
}

const TIMES: [(&str, f64); 6] = [
    ("us", 1e-6),
    ("ms", 1e-3),
    ("s", 1.0),
    ("min", 60.0),
    ("h", 3600.0),
    ("d", 86_400.0),
];
const SIZES: [(&str, f64); 4] = [
    ("B", 1.0),
    ("KiB", 1024.0),
    ("MiB", 1_048_576.0),
    ("GiB", 1_073_741_824.0),
];
/// How units are often written elsewhere, and what they are here.
const ELSEWHERE: [(&str, &str); 17] = [
    ("sec", "s"),
    ("secs", "s"),
    ("second", "s"),
    ("seconds", "s"),
    ("msec", "ms"),
    ("m", "min"),
    ("mins", "min"),
    ("minutes", "min"),
    ("hr", "h"),
    ("hours", "h"),
    ("KB", "KiB"),
    ("kB", "KiB"),
    ("MB", "MiB"),
    ("GB", "GiB"),
    ("/sec", "/s"),
    ("rps", "/s"),
    ("percent", "%"),
];
/// Beyond a week nothing here makes sense, and sums stay far from overflow.
const LONGEST: f64 = 7.0 * 86_400.0;
const LARGEST: f64 = 1.0e15;

/// Reads a word as a value of a kind.
pub fn read(kind: Kind, word: &str, quoted: bool) -> Result<Value, Wrong> {
    if quoted != (kind == Kind::Text) {
        let how = if quoted {
            "is in quotes"
        } else {
            "is not in quotes"
        };
        return Err(Wrong::new(format!(
            "`{}` {how}; here {} is wanted",
            shown(word),
            kind.wanted()
        )));
    }
    match kind {
        Kind::Text => Ok(Value::Text(word.to_string())),
        Kind::Name | Kind::Pattern => name(kind, word),
        Kind::Clock => clock(word),
        Kind::Network => network(word),
        Kind::Numbers => numbers(word),
        _ => number_with_unit(kind, word),
    }
}

/// Whether a word can be a name: a letter or digit first, then also `-`, `_` and `.`.
pub fn is_name(word: &str) -> bool {
    let inner = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    word.len() <= 64
        && word.starts_with(|c: char| c.is_ascii_alphanumeric())
        && word.chars().all(inner)
}

fn name(kind: Kind, word: &str) -> Result<Value, Wrong> {
    let stars = word.matches('*').count();
    if kind == Kind::Pattern && word.len() <= 64 && stars <= 4 {
        let bare = word.replace('*', "0");
        if is_name(&bare) {
            return Ok(Value::Pattern(word.to_string()));
        }
    }
    if kind == Kind::Name && is_name(word) {
        return Ok(Value::Name(word.to_string()));
    }
    let text = format!("`{}` is no name", shown(word));
    let help = match kind {
        Kind::Pattern => "a pattern has letters, digits, `-`, `_`, `.` and four `*` at most, 64 in all",
        _ => "a name has letters, digits, `-`, `_` and `.`, 64 at most, and begins with a letter or digit",
    };
    Err(Wrong::new(text).help(help))
}

/// The kinds that are a number with a unit, and the count, which has none.
fn number_with_unit(kind: Kind, word: &str) -> Result<Value, Wrong> {
    let digits = word
        .find(|c: char| !(c.is_ascii_digit() || c == '.'))
        .unwrap_or(word.len());
    let (number, unit) = word.split_at(digits);
    let Some(number) = number.parse::<f64>().ok().filter(|n| n.is_finite()) else {
        return Err(Wrong::new(format!(
            "`{}` is no number; here {} is wanted",
            shown(word),
            kind.wanted()
        )));
    };
    let got = kind_of(unit);
    match got {
        None => {
            let units = units(kind);
            let elsewhere = ELSEWHERE
                .iter()
                .find(|(other, here)| *other == unit && units.contains(here));
            let near = elsewhere
                .map(|(_, here)| *here)
                .or(crate::fault::nearest(unit, units.iter().copied()));
            let near = near.map(|u| format!("{number}{u}"));
            let wrong = Wrong::new(format!(
                "`{}` is no unit; here {} is wanted",
                shown(unit),
                kind.wanted()
            ));
            return Err(near.map_or(wrong.clone(), |near| {
                wrong.help(format!("did you mean `{near}`?"))
            }));
        }
        Some(Kind::Count) if kind != Kind::Count => {
            let text = format!(
                "`{}` has no unit; here {} is wanted",
                shown(word),
                kind.wanted()
            );
            return Err(Wrong::new(text));
        }
        Some(got) if got != kind => {
            let text = format!(
                "`{}` is {}; here {} is wanted",
                shown(word),
                got.is(),
                kind.wanted()
            );
            return Err(Wrong::new(text));
        }
        Some(_) => {}
    }
    value(kind, word, number * factor(unit))
}

/// A number in base units as a value, checked against what its kind can be.
fn value(kind: Kind, word: &str, n: f64) -> Result<Value, Wrong> {
    let wrong = |what: &str| Err(Wrong::new(format!("`{}` {what}", shown(word))));
    match kind {
        Kind::Time if n > LONGEST => wrong("is longer than a week"),
        Kind::Time if n <= 0.0 => wrong("is no time; it must be above 0"),
        // Whole microseconds, so that 1s and 1000ms are one.
        Kind::Time => Ok(Value::Time(Duration::from_micros(
            (n * 1e6).round().max(1.0) as u64,
        ))),
        Kind::Share if n > 1.0 => wrong("is more than all; a share is 100% at most"),
        Kind::Share => Ok(Value::Share(n)),
        _ if n <= 0.0 => wrong("is nothing; it must be above 0"),
        _ if n > LARGEST => wrong("is too large"),
        Kind::Size | Kind::Count if n.fract() != 0.0 => wrong("is no whole number"),
        Kind::Size => Ok(Value::Size(n as u64)),
        Kind::Count => Ok(Value::Count(n as u64)),
        Kind::Rate => Ok(Value::Rate(n)),
        _ => Ok(Value::Flow(n)),
    }
}

fn units(kind: Kind) -> Vec<&'static str> {
    match kind {
        Kind::Time => TIMES.iter().map(|(unit, _)| *unit).collect(),
        Kind::Size => SIZES.iter().map(|(unit, _)| *unit).collect(),
        Kind::Rate => vec!["/s", "/min", "/h"],
        Kind::Flow => vec!["B/s", "KiB/s", "MiB/s", "GiB/s"],
        Kind::Share => vec!["%"],
        _ => Vec::new(),
    }
}

/// The kind that a unit belongs to; none where it is no unit.
fn kind_of(unit: &str) -> Option<Kind> {
    let is_time = |u: &str| TIMES.iter().any(|(name, _)| *name == u);
    let is_size = |u: &str| SIZES.iter().any(|(name, _)| *name == u);
    match unit.split_once('/') {
        None if unit.is_empty() => Some(Kind::Count),
        None if unit == "%" => Some(Kind::Share),
        None if is_time(unit) => Some(Kind::Time),
        None if is_size(unit) => Some(Kind::Size),
        Some(("", per)) if is_time(per) => Some(Kind::Rate),
        Some((size, per)) if is_size(size) && is_time(per) => Some(Kind::Flow),
        _ => None,
    }
}

/// What a known unit is in base units: seconds, bytes, each second, 1.
fn factor(unit: &str) -> f64 {
    let of = |table: &[(&str, f64)], u: &str| {
        table
            .iter()
            .find(|(name, _)| *name == u)
            .map_or(1.0, |f| f.1)
    };
    match unit.split_once('/') {
        Some((size, per)) => of(&SIZES, size) / of(&TIMES, per),
        None if unit == "%" => 0.01,
        None => of(&TIMES, unit) * of(&SIZES, unit),
    }
}

fn clock(word: &str) -> Result<Value, Wrong> {
    let minute = |text: &str| {
        let (hour, minute) = text.split_once(':')?;
        let two = |t: &str| {
            (t.len() == 2 && t.bytes().all(|b| b.is_ascii_digit()))
                .then(|| t.parse::<u32>().ok())?
        };
        let (hour, minute) = (two(hour)?, two(minute)?);
        (minute < 60 && hour * 60 + minute <= DAY).then_some(hour * 60 + minute)
    };
    let ends = word
        .split_once("..")
        .map(|(from, until)| (minute(from), minute(until)));
    match ends {
        Some((Some(from), Some(until))) if from % DAY == until % DAY => Err(Wrong::new(format!(
            "`{}` is no time at all, or a whole day",
            shown(word)
        ))
        .help("leave the entry out for the whole day")),
        Some((Some(from), Some(until))) => Ok(Value::Clock(from % DAY, until)),
        _ => Err(Wrong::new(format!(
            "`{}` is no span of hours; here {} is wanted",
            shown(word),
            Kind::Clock.wanted()
        ))),
    }
}

fn network(word: &str) -> Result<Value, Wrong> {
    let wrong = || {
        Wrong::new(format!(
            "`{}` is no network; here {} is wanted",
            shown(word),
            Kind::Network.wanted()
        ))
    };
    if let Ok(address) = word.parse::<IpAddr>() {
        return Ok(Value::Network(IpNet::from(address)));
    }
    let net: IpNet = word.parse().map_err(|_| wrong())?;
    match net.trunc() == net {
        true => Ok(Value::Network(net)),
        false => Err(
            Wrong::new(format!("`{}` has bits set behind its prefix", shown(word))).help(format!(
                "did you mean `{}`, or the one address `{}`?",
                net.trunc(),
                net.addr()
            )),
        ),
    }
}

fn numbers(word: &str) -> Result<Value, Wrong> {
    let (from, to) = word.split_once("..").unwrap_or((word, word));
    match (from.parse::<u32>(), to.parse::<u32>()) {
        (Ok(from), Ok(to)) if from <= to => Ok(Value::Numbers(from, to)),
        (Ok(from), Ok(to)) => Err(Wrong::new(format!("`{}` runs backwards", shown(word)))
            .help(format!("did you mean `{to}..{from}`?"))),
        _ => Err(Wrong::new(format!(
            "`{}` is no number; here {} is wanted",
            shown(word),
            Kind::Numbers.wanted()
        ))),
    }
}
