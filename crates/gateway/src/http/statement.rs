//! The data set of a batch, taken out of its statement: the number behind the underscore in the name of the
//! schema that it reads or writes. Strings, comments, quoted texts and `staging` do not count.

/// Schema that holds no data set.
const STAGING: &str = "staging";

/// Words after which a table is named.
const BEFORE_TABLE: [&str; 9] = [
    "from", "join", "into", "update", "table", "using", "only", "copy", "truncate",
];
/// Words that end the list of tables after `FROM`.
const AFTER_TABLES: [&str; 14] = [
    "where",
    "group",
    "order",
    "having",
    "limit",
    "union",
    "on",
    "set",
    "values",
    "select",
    "window",
    "except",
    "intersect",
    "returning",
];

#[derive(Debug, PartialEq)]
enum Token {
    /// A name with its parts, as in `sales_17.orders`; quoted parts keep their case.
    Name(Vec<String>),
    Mark(char),
}

/// The data set that a statement reads or writes: of the first table in the place of one, else of the first
/// qualified name; `None` where no schema has a number.
pub fn data_set(statement: &[u8]) -> Option<u32> {
    let text = String::from_utf8_lossy(statement);
    let tokens = tokens(&text);
    tables(&tokens).into_iter().find_map(number).or_else(|| {
        tokens.iter().find_map(|t| match t {
            Token::Name(parts) => number(parts),
            Token::Mark(_) => None,
        })
    })
}

/// Names that stand where a table is named. `FROM` inside a call, as in `trim(a FROM b)`, names none, and
/// neither does `IS DISTINCT FROM`.
fn tables(tokens: &[Token]) -> Vec<&[String]> {
    let mut found = Vec::new();
    // For each open bracket: whether clauses are read there, and whether a table is due or a list goes on.
    let mut open = vec![(true, false, false)];
    let mut before = "";
    for (i, token) in tokens.iter().enumerate() {
        let Some((clauses, due, list)) = open.last_mut() else {
            break;
        };
        match token {
            Token::Mark('(') => {
                let next = match tokens.get(i + 1) {
                    Some(Token::Name(parts)) => parts[0].to_ascii_lowercase(),
                    Some(Token::Mark('(')) => "(".into(),
                    _ => String::new(),
                };
                let inner = matches!(next.as_str(), "select" | "with" | "(") || *due;
                let due = std::mem::take(due) && next != "select" && next != "with";
                open.push((inner, due, due));
                before = "";
            }
            Token::Mark(')') => {
                if open.len() > 1 {
                    open.pop();
                }
                before = "";
            }
            Token::Mark(',') => *due = *list,
            Token::Mark(_) => *due = false,
            Token::Name(parts) if parts.len() == 1 => {
                let word = parts[0].to_ascii_lowercase();
                if let Some(at) = BEFORE_TABLE.iter().position(|w| *w == word) {
                    *due = *clauses && !(at == 0 && before == "distinct");
                    *list = *due && word == "from";
                } else if AFTER_TABLES.contains(&word.as_str()) {
                    (*due, *list) = (false, false);
                } else {
                    *due = false;
                }
                before = if word == "distinct" { "distinct" } else { "" };
            }
            Token::Name(parts) => {
                if std::mem::take(due) {
                    found.push(parts.as_slice());
                }
                before = "";
            }
        }
    }
    found
}

/// The number in a qualified name's schema, the part before the last.
fn number(parts: &[String]) -> Option<u32> {
    let schema = parts.len().checked_sub(2).and_then(|at| parts.get(at))?;
    if schema.eq_ignore_ascii_case(STAGING) {
        return None;
    }
    let (_, digits) = schema.rsplit_once('_')?;
    digits
        .parse()
        .ok()
        .filter(|_| digits.bytes().all(|b| b.is_ascii_digit()))
}

fn tokens(text: &str) -> Vec<Token> {
    let mut out = Vec::new();
    let mut rest = text;
    while let Some(c) = rest.chars().next() {
        rest = match c {
            '\'' => after_quoted(rest, '\''),
            '-' if rest.starts_with("--") => rest.find('\n').map_or("", |at| &rest[at..]),
            '/' if rest.starts_with("/*") => after_comment(rest),
            '$' => after_dollars(rest),
            c if c == '"' || c == '`' || starts_name(c) => {
                let (parts, later) = name(rest);
                out.push(Token::Name(parts));
                later
            }
            // Numbers are passed over whole: `1e5` holds no name.
            c if c.is_ascii_digit() => rest.trim_start_matches(|c: char| in_name(c) || c == '.'),
            c => {
                if !c.is_whitespace() {
                    out.push(Token::Mark(c));
                }
                &rest[c.len_utf8()..]
            }
        };
    }
    out
}

fn starts_name(c: char) -> bool {
    c.is_alphabetic() || c == '_'
}

fn in_name(c: char) -> bool {
    c.is_alphanumeric() || c == '_' || c == '$'
}

/// A name, with all parts that dots join.
fn name(text: &str) -> (Vec<String>, &str) {
    let (mut parts, mut rest) = (Vec::new(), text);
    loop {
        match rest.chars().next() {
            Some(quote @ ('"' | '`')) => {
                let later = after_quoted(rest, quote);
                let inner = &rest[1..rest.len() - later.len()];
                parts.push(inner.strip_suffix(quote).unwrap_or(inner).to_string());
                rest = later;
            }
            Some(c) if starts_name(c) => {
                let end = rest.find(|c| !in_name(c)).unwrap_or(rest.len());
                parts.push(rest[..end].to_string());
                rest = &rest[end..];
            }
            _ => return (parts, rest),
        }
        let later = rest.trim_start();
        match later.strip_prefix('.') {
            Some(later)
                if later
                    .trim_start()
                    .starts_with(|c| c == '"' || c == '`' || starts_name(c)) =>
            {
                rest = later.trim_start();
            }
            _ => return (parts, rest),
        }
    }
}

/// What follows a quoted text; a doubled quote stays inside.
fn after_quoted(text: &str, quote: char) -> &str {
    let mut rest = &text[1..];
    while let Some(at) = rest.find(quote) {
        rest = &rest[at + 1..];
        match rest.strip_prefix(quote) {
            Some(later) => rest = later,
            None => return rest,
        }
    }
    ""
}

/// What follows a comment; comments nest.
fn after_comment(text: &str) -> &str {
    let (mut depth, mut rest) = (0, text);
    while !rest.is_empty() {
        if let Some(later) = rest.strip_prefix("/*") {
            (depth, rest) = (depth + 1, later);
        } else if let Some(later) = rest.strip_prefix("*/") {
            (depth, rest) = (depth - 1, later);
            if depth == 0 {
                return rest;
            }
        } else {
            rest = rest.char_indices().nth(1).map_or("", |(at, _)| &rest[at..]);
        }
    }
    ""
}

/// What follows a dollar-quoted text, or the dollar alone.
fn after_dollars(text: &str) -> &str {
    let tag = text[1..]
        .find(|c| !in_name(c) || c == '$')
        .map(|at| &text[..at + 1]);
    let tag = tag
        .filter(|tag| text[tag.len()..].starts_with('$'))
        .map(|tag| &text[..tag.len() + 1]);
    match tag {
        Some(tag) => text[tag.len()..]
            .split_once(tag)
            .map_or("", |(_, later)| later),
        None => &text[1..],
    }
}

#[cfg(test)]
mod tests;
