//! Parse stage: splits an SQL statement into names and punctuation, without strings, comments and numbers.

/// A part of a statement.
#[derive(Debug, PartialEq)]
pub(super) enum Token {
    /// A name with its parts, as in `sales_17.orders`, or a keyword; quoted parts keep their case.
    Name(Vec<String>),
    /// One character that is no part of a name.
    Punctuation(char),
}

/// The tokens of a statement. It never fails: what is not closed reaches to the end.
pub(super) fn tokenize(statement: &str) -> Vec<Token> {
    let mut tokens = Vec::new();
    let mut remaining = statement;
    while let Some(next) = remaining.chars().next() {
        remaining = match next {
            '\'' => skip_quoted(remaining, '\''),
            '-' if remaining.starts_with("--") => skip_dash_comment(remaining),
            '/' if remaining.starts_with("/*") => skip_block_comment(remaining),
            '$' => skip_dollar_quoted(remaining),
            _ if starts_name_part(next) => {
                let (parts, after) = parse_name(remaining);
                tokens.push(Token::Name(parts));
                after
            }
            _ if next.is_ascii_digit() => skip_number(remaining),
            _ => {
                if !next.is_whitespace() {
                    tokens.push(Token::Punctuation(next));
                }
                &remaining[next.len_utf8()..]
            }
        };
    }
    tokens
}

fn is_quote(character: char) -> bool {
    character == '"' || character == '`'
}

fn starts_unquoted(character: char) -> bool {
    character.is_alphabetic() || character == '_'
}

fn continues_unquoted(character: char) -> bool {
    character.is_alphanumeric() || character == '_' || character == '$'
}

fn starts_name_part(character: char) -> bool {
    is_quote(character) || starts_unquoted(character)
}

/// A name with all parts that dots join, and what follows it.
fn parse_name(text: &str) -> (Vec<String>, &str) {
    let mut parts = Vec::new();
    let mut remaining = text;
    loop {
        let Some((part, after)) = parse_name_part(remaining) else {
            return (parts, remaining);
        };
        parts.push(part);
        remaining = after;
        let Some(after_dot) = remaining.trim_start().strip_prefix('.') else {
            return (parts, remaining);
        };
        let next_part = after_dot.trim_start();
        if !next_part.starts_with(starts_name_part) {
            return (parts, remaining);
        }
        remaining = next_part;
    }
}

/// One part of a name, and what follows it; none where no name starts.
fn parse_name_part(text: &str) -> Option<(String, &str)> {
    let first = text.chars().next()?;
    if is_quote(first) {
        let after = skip_quoted(text, first);
        let inner = &text[1..text.len() - after.len()];
        let part = inner.strip_suffix(first).unwrap_or(inner);
        return Some((part.to_string(), after));
    }
    if !starts_unquoted(first) {
        return None;
    }
    let end = text
        .find(|character| !continues_unquoted(character))
        .unwrap_or(text.len());
    Some((text[..end].to_string(), &text[end..]))
}

/// Numbers are skipped whole: `1e5` holds no name.
fn skip_number(text: &str) -> &str {
    text.trim_start_matches(|character| continues_unquoted(character) || character == '.')
}

/// The text after a quoted one; a doubled quote is a part of it.
fn skip_quoted(text: &str, quote: char) -> &str {
    let mut remaining = &text[1..];
    while let Some(end) = remaining.find(quote) {
        remaining = &remaining[end + 1..];
        match remaining.strip_prefix(quote) {
            Some(after) => remaining = after,
            None => return remaining,
        }
    }
    ""
}

fn skip_dash_comment(text: &str) -> &str {
    text.find('\n').map_or("", |end| &text[end..])
}

/// The text after a block comment; these nest.
fn skip_block_comment(text: &str) -> &str {
    let mut depth = 0;
    let mut remaining = text;
    while let Some(next) = remaining.chars().next() {
        if let Some(after) = remaining.strip_prefix("/*") {
            depth += 1;
            remaining = after;
        } else if let Some(after) = remaining.strip_prefix("*/") {
            depth -= 1;
            remaining = after;
            if depth == 0 {
                return remaining;
            }
        } else {
            remaining = &remaining[next.len_utf8()..];
        }
    }
    ""
}

/// The text after a dollar-quoted one as in `$tag$ text $tag$`, or the dollar sign alone.
fn skip_dollar_quoted(text: &str) -> &str {
    let after_dollar = &text[1..];
    let Some(tag) = dollar_tag(text) else {
        return after_dollar;
    };
    text[tag.len()..]
        .split_once(tag)
        .map_or("", |(_, after)| after)
}

/// The tag that a text starts with, with both its dollar signs.
fn dollar_tag(text: &str) -> Option<&str> {
    let name_length =
        text[1..].find(|character| !continues_unquoted(character) || character == '$')?;
    let tag_end = 1 + name_length;
    text[tag_end..]
        .starts_with('$')
        .then(|| &text[..tag_end + 1])
}
