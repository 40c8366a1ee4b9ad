//! Parse stage: splits an SQL statement into names and punctuation, and skips strings, comments and numbers.
//!
//! Tokens are read one at a time and borrow from the statement, so that a statement takes no memory beside its own
//! bytes, whatever a client writes into it.

/// Longest encoding of a character in UTF-8, in bytes.
const MAX_CHARACTER_BYTES: usize = 4;

/// Token of an SQL statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Token<'a> {
    /// Name with the parts between its dots, such as `sales_17.orders`, or a keyword.
    Name(Name<'a>),
    /// Any other character that is not white space.
    Punctuation(char),
}

/// Dotted name. The parts keep their case, and quoted ones lose their quotes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Name<'a> {
    /// The first part, which is a keyword if the name has no other.
    pub first: &'a [u8],
    /// The part before the last; `None` if the name has only one part.
    pub schema: Option<&'a [u8]>,
}

impl Token<'_> {
    /// Whether the token is a name whose first part is one of `keywords`.
    pub fn starts_with_keyword(&self, keywords: &[&str]) -> bool {
        match self {
            Token::Name(name) => is_one_of(name.first, keywords),
            Token::Punctuation(_) => false,
        }
    }
}

/// Whether a word is one of `keywords`, which are in lower case.
pub(super) fn is_one_of(word: &[u8], keywords: &[&str]) -> bool {
    keywords
        .iter()
        .any(|keyword| word.eq_ignore_ascii_case(keyword.as_bytes()))
}

/// The tokens of a statement. Reading never fails: an unclosed string or comment extends to the end of the statement, and
/// bytes that are not UTF-8 count as punctuation.
#[derive(Clone, Copy)]
pub(super) struct Tokens<'a> {
    remaining: &'a [u8],
}

impl<'a> Tokens<'a> {
    pub fn new(statement: &'a [u8]) -> Self {
        Tokens {
            remaining: statement,
        }
    }

    /// Number of bytes that are not read yet.
    pub fn remaining_bytes(&self) -> usize {
        self.remaining.len()
    }
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            let text = self.remaining;
            let (next, length) = first_character(text)?;
            self.remaining = match next {
                '\'' => skip_quoted(text, b'\''),
                '-' if text.starts_with(b"--") => skip_dash_comment(text),
                '/' if text.starts_with(b"/*") => skip_block_comment(text),
                '$' => skip_dollar_quoted(text),
                _ if starts_name_part(next) => {
                    let (name, after) = parse_name(text);
                    self.remaining = after;
                    return Some(Token::Name(name));
                }
                _ if next.is_ascii_digit() => skip_number(text),
                _ if next.is_whitespace() => &text[length..],
                _ => {
                    self.remaining = &text[length..];
                    return Some(Token::Punctuation(next));
                }
            };
        }
    }
}

/// Returns the first character of `text` and its length in bytes. A byte that starts no character in UTF-8 counts as the
/// replacement character.
fn first_character(text: &[u8]) -> Option<(char, usize)> {
    let first = *text.first()?;
    if first.is_ascii() {
        return Some((char::from(first), 1));
    }
    let longest = &text[..text.len().min(MAX_CHARACTER_BYTES)];
    let valid = longest.utf8_chunks().next()?.valid();
    let character = valid.chars().next();
    Some(
        character.map_or((char::REPLACEMENT_CHARACTER, 1), |character| {
            (character, character.len_utf8())
        }),
    )
}

/// Returns the text after the characters at the start of `text` that satisfy `is_skipped`.
fn skip_while(text: &[u8], is_skipped: impl Fn(char) -> bool) -> &[u8] {
    let mut remaining = text;
    while let Some((next, length)) = first_character(remaining) {
        if !is_skipped(next) {
            break;
        }
        remaining = &remaining[length..];
    }
    remaining
}

fn skip_white_space(text: &[u8]) -> &[u8] {
    skip_while(text, char::is_whitespace)
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

/// Returns the dotted name at the start of `text`, which must start with a part of a name, and the text after it.
fn parse_name(text: &[u8]) -> (Name<'_>, &[u8]) {
    let (first, mut remaining) = parse_name_part(text);
    let mut last = first;
    let mut schema = None;
    while let Some(next_part) = next_part(remaining) {
        schema = Some(last);
        (last, remaining) = parse_name_part(next_part);
    }
    (Name { first, schema }, remaining)
}

/// Returns the text that starts with the next part of a name. `None` if `text` does not continue the name with a dot and
/// a part.
fn next_part(text: &[u8]) -> Option<&[u8]> {
    let after_dot = skip_white_space(text).strip_prefix(b".")?;
    let next_part = skip_white_space(after_dot);
    let (first, _) = first_character(next_part)?;
    starts_name_part(first).then_some(next_part)
}

/// Returns the part of a name at the start of `text`, which must not be empty, and the text after it.
fn parse_name_part(text: &[u8]) -> (&[u8], &[u8]) {
    let quote = text[0];
    if is_quote(char::from(quote)) {
        let after = skip_quoted(text, quote);
        let inner = &text[1..text.len() - after.len()];
        return (inner.strip_suffix(&[quote]).unwrap_or(inner), after);
    }
    let after = skip_while(text, continues_unquoted);
    (&text[..text.len() - after.len()], after)
}

/// Returns the text after a number. Letters in it are skipped too, so that the `e5` of `1e5` is not taken for a name.
fn skip_number(text: &[u8]) -> &[u8] {
    skip_while(text, |character| {
        continues_unquoted(character) || character == '.'
    })
}

/// Returns the text from the first occurrence of `byte`. Returns `None` if there is none.
fn find_byte(text: &[u8], byte: u8) -> Option<&[u8]> {
    let position = text.iter().position(|other| *other == byte)?;
    Some(&text[position..])
}

/// Returns the text after a quoted string or name. A doubled quote is an escaped one and does not end it.
fn skip_quoted(text: &[u8], quote: u8) -> &[u8] {
    let mut remaining = &text[1..];
    while let Some(end) = find_byte(remaining, quote) {
        remaining = &end[1..];
        match remaining.strip_prefix(&[quote]) {
            Some(after) => remaining = after,
            None => return remaining,
        }
    }
    &[]
}

fn skip_dash_comment(text: &[u8]) -> &[u8] {
    find_byte(text, b'\n').unwrap_or_default()
}

/// Returns the text after a block comment. Block comments may be nested.
fn skip_block_comment(text: &[u8]) -> &[u8] {
    let mut depth = 0;
    let mut remaining = text;
    while !remaining.is_empty() {
        if let Some(after) = remaining.strip_prefix(b"/*") {
            depth += 1;
            remaining = after;
        } else if let Some(after) = remaining.strip_prefix(b"*/") {
            depth -= 1;
            remaining = after;
            if depth == 0 {
                return remaining;
            }
        } else {
            remaining = &remaining[1..];
        }
    }
    &[]
}

/// Returns the text after a dollar-quoted string such as `$tag$ text $tag$`, or after the dollar sign if none starts
/// here.
fn skip_dollar_quoted(text: &[u8]) -> &[u8] {
    let Some(tag) = dollar_tag(text) else {
        return &text[1..];
    };
    // A tag has no dollar sign between its first and its last, so the search takes linear time.
    let mut remaining = &text[tag.len()..];
    while let Some(candidate) = find_byte(remaining, b'$') {
        if let Some(after) = candidate.strip_prefix(tag) {
            return after;
        }
        remaining = &candidate[1..];
    }
    &[]
}

/// Returns the tag that starts a dollar-quoted string, such as `$tag$`. `text` must start with a dollar sign.
fn dollar_tag(text: &[u8]) -> Option<&[u8]> {
    let after_name = skip_while(&text[1..], |character| {
        continues_unquoted(character) && character != '$'
    });
    let after_tag = after_name.strip_prefix(b"$")?;
    Some(&text[..text.len() - after_tag.len()])
}
