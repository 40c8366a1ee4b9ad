//! Parse stage: finds the data set of a query in its SQL statement.
//!
//! The number of the data set follows the last underscore in the name of the schema that the statement reads or writes,
//! as 17 in `sales_17.orders`. Strings, comments and the schema `staging` are ignored.

mod tokens;

use tokens::{is_one_of, Name, Token, Tokens};
use tokio::task::yield_now;

/// Number of the data set of a statement that names none.
pub const NO_DATA_SET: u32 = 0;

/// Schema that belongs to no data set.
const STAGING_SCHEMA: &str = "staging";

/// Keywords after which a table name may follow.
const TABLE_KEYWORDS: [&str; 9] = [
    "from", "join", "into", "update", "table", "using", "only", "copy", "truncate",
];
/// Keywords after which no table name is expected, neither directly nor after a comma.
const CLAUSE_KEYWORDS: [&str; 14] = [
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

/// Deepest nesting of parentheses in which table names are told from other names.
const MAX_SCOPES: usize = 256;

/// Number of bytes of a statement that are searched at a time. Other requests are served between.
const SEARCH_SLICE_BYTES: usize = 16 << 10;

/// Returns the number of the data set that a statement reads or writes. It comes from the first table name whose schema
/// has a number, else from the first other qualified name whose schema has one. Returns `None` if no schema has a
/// number.
pub async fn find_data_set(statement: &[u8]) -> Option<u32> {
    let mut search = DataSetSearch::new(statement);
    loop {
        match search.run(SEARCH_SLICE_BYTES) {
            SearchState::Finished(data_set) => return data_set,
            SearchState::Unfinished => yield_now().await,
        }
    }
}

/// State of the search for a data set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SearchState {
    /// A part of the statement is still to be read.
    Unfinished,
    /// Holds the number of the data set; `None` if the statement names none.
    Finished(Option<u32>),
}

/// Search for the data set of a statement, which can be interrupted between two tokens.
struct DataSetSearch<'a> {
    tokens: Tokens<'a>,
    tables: TableFinder,
    /// Number in the schema of the first qualified name that has one.
    first_named: Option<u32>,
}

impl<'a> DataSetSearch<'a> {
    fn new(statement: &'a [u8]) -> Self {
        DataSetSearch {
            tokens: Tokens::new(statement),
            tables: TableFinder::new(),
            first_named: None,
        }
    }

    /// Reads on until the search is finished, or until at least `slice_bytes` bytes are read.
    fn run(&mut self, slice_bytes: usize) -> SearchState {
        let slice_end = self.tokens.remaining_bytes().saturating_sub(slice_bytes);
        while let Some(token) = self.tokens.next() {
            let is_table = self.tables.is_table(&token, self.tokens);
            if let Token::Name(name) = token {
                let number = schema_number(&name);
                if is_table && number.is_some() {
                    return SearchState::Finished(number);
                }
                self.first_named = self.first_named.or(number);
            }
            if slice_end > 0 && self.tokens.remaining_bytes() <= slice_end {
                return SearchState::Unfinished;
            }
        }
        SearchState::Finished(self.first_named)
    }
}

/// Returns the number in the schema of a qualified name.
fn schema_number(name: &Name) -> Option<u32> {
    let schema = std::str::from_utf8(name.schema?).ok()?;
    if schema.eq_ignore_ascii_case(STAGING_SCHEMA) {
        return None;
    }
    let (_, digits) = schema.rsplit_once('_')?;
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse().ok()
}

/// Parser state for the text between a pair of parentheses, or for the whole statement.
#[derive(Clone, Copy)]
struct Scope {
    /// Whether table keywords introduce a table name here. False in function arguments such as `trim(a FROM b)`.
    has_clauses: bool,
    /// Whether the next name is a table name.
    expects_table: bool,
    /// Whether a table name follows the next comma.
    in_table_list: bool,
}

/// Tells which qualified names stand in positions where SQL expects a table.
struct TableFinder {
    /// Open scopes, the innermost last. The first is the whole statement and is never closed.
    scopes: Vec<Scope>,
    /// Number of open parentheses beyond [`MAX_SCOPES`]; names inside them are not taken for tables.
    untracked_parentheses: usize,
    /// Whether the last name was `DISTINCT`, since no table name follows the `FROM` of `IS DISTINCT FROM`.
    after_distinct: bool,
}

impl TableFinder {
    fn new() -> Self {
        let statement_scope = Scope {
            has_clauses: true,
            expects_table: false,
            in_table_list: false,
        };
        TableFinder {
            scopes: vec![statement_scope],
            untracked_parentheses: 0,
            after_distinct: false,
        }
    }

    /// Whether the next token of the statement is a qualified name in the position of a table; `following` are the
    /// tokens after it.
    fn is_table(&mut self, token: &Token, following: Tokens) -> bool {
        match token {
            Token::Punctuation('(') => self.open_scope(following),
            Token::Punctuation(')') => self.close_scope(),
            _ if self.untracked_parentheses > 0 => {}
            Token::Punctuation(',') => {
                let scope = self.scope();
                scope.expects_table = scope.in_table_list;
            }
            Token::Punctuation(_) => self.scope().expects_table = false,
            Token::Name(name) if name.schema.is_none() => self.handle_word(name.first),
            Token::Name(_) => return self.handle_qualified_name(),
        }
        false
    }

    fn scope(&mut self) -> &mut Scope {
        self.scopes
            .last_mut()
            .expect("the scope of the whole statement is never closed")
    }

    fn open_scope(&mut self, mut following: Tokens) {
        if self.scopes.len() >= MAX_SCOPES {
            self.untracked_parentheses += 1;
            return;
        }
        let next = following.next();
        let is_query = next.is_some_and(|token| token.starts_with_keyword(&["select", "with"]));
        let is_nested = next == Some(Token::Punctuation('('));
        let scope = self.scope();
        let expects_table = std::mem::take(&mut scope.expects_table);
        let is_table_list = expects_table && !is_query;
        self.scopes.push(Scope {
            has_clauses: is_query || is_nested || expects_table,
            expects_table: is_table_list,
            in_table_list: is_table_list,
        });
        self.after_distinct = false;
    }

    fn close_scope(&mut self) {
        if self.untracked_parentheses > 0 {
            self.untracked_parentheses -= 1;
        } else if self.scopes.len() > 1 {
            self.scopes.pop();
        }
        self.after_distinct = false;
    }

    /// Handles a keyword or a name without a schema.
    fn handle_word(&mut self, word: &[u8]) {
        let is_distinct = word.eq_ignore_ascii_case(b"distinct");
        let follows_distinct = std::mem::replace(&mut self.after_distinct, is_distinct);
        let scope = self.scope();
        if is_one_of(word, &TABLE_KEYWORDS) {
            let is_from = word.eq_ignore_ascii_case(b"from");
            let is_distinct_from = is_from && follows_distinct;
            scope.expects_table = scope.has_clauses && !is_distinct_from;
            scope.in_table_list = scope.expects_table && is_from;
        } else if is_one_of(word, &CLAUSE_KEYWORDS) {
            scope.expects_table = false;
            scope.in_table_list = false;
        } else {
            scope.expects_table = false;
        }
    }

    /// Whether a qualified name stands in the position of a table.
    fn handle_qualified_name(&mut self) -> bool {
        self.after_distinct = false;
        std::mem::take(&mut self.scope().expects_table)
    }
}

#[cfg(test)]
mod tests;
