//! Parse stage: splits an SQL statement into names and punctuation, and skips strings, comments and numbers.

/// Token of an SQL statement.
#[derive(Debug, PartialEq)]
pub(super) enum Token {
    /// Name split at its dots, such as `sales_17.orders`, or a keyword. All parts keep their case, and quoted ones lose
    /// their quotes.
    Name(Vec<String>),
    /// Any other character that is not white space.
    Punctuation(char),
}

/// Returns the tokens of a statement. Never fails: an unclosed string or comment extends to the end of the statement.
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

/// Returns the parts of a dotted name at the start of `text`, and the text after it.
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

/// Returns one part of a name at the start of `text`, and the text after it. Returns `None` if `text` starts no name.
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

/// Returns the text after a number. Letters in it are skipped too, so that the `e5` of `1e5` is not taken for a name.
fn skip_number(text: &str) -> &str {
    text.trim_start_matches(|character| continues_unquoted(character) || character == '.')
}

/// Returns the text after a quoted string or name. A doubled quote is an escaped one and does not end it.
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

/// Returns the text after a block comment. Block comments may be nested.
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

/// Returns the text after a dollar-quoted string such as `$tag$ text $tag$`, or after the dollar sign if none starts
/// here.
fn skip_dollar_quoted(text: &str) -> &str {
    let after_dollar = &text[1..];
    let Some(tag) = dollar_tag(text) else {
        return after_dollar;
    };
    text[tag.len()..]
        .split_once(tag)
        .map_or("", |(_, after)| after)
}

/// Returns the tag that starts a dollar-quoted string, such as `$tag$`. `text` must start with a dollar sign.
fn dollar_tag(text: &str) -> Option<&str> {
    let name_length =
        text[1..].find(|character| !continues_unquoted(character) || character == '$')?;
    let tag_end = 1 + name_length;
    text[tag_end..]
        .starts_with('$')
        .then(|| &text[..tag_end + 1])
}
