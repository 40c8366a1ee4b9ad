//! Parse stage: finds the data set of a query in its SQL statement.
//!
//! The number of the data set follows the last underscore in the name of the schema that the statement reads or writes,
//! as 17 in `sales_17.orders`. Strings, comments and the schema `staging` are ignored.

mod tokens;

use tokens::{tokenize, Token};

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

/// Returns the number of the data set that a statement reads or writes. It comes from the first table name whose schema
/// has a number, else from the first other qualified name whose schema has one. Returns `None` if no schema has a
/// number.
pub fn data_set(statement: &[u8]) -> Option<u32> {
    let text = String::from_utf8_lossy(statement);
    let tokens = tokenize(&text);
    let table_data_set = TableFinder::new(&tokens)
        .tables()
        .into_iter()
        .find_map(schema_number);
    table_data_set.or_else(|| {
        tokens.iter().find_map(|token| match token {
            Token::Name(parts) => schema_number(parts),
            Token::Punctuation(_) => None,
        })
    })
}

/// Returns the number in the schema of a qualified name. The schema is the part before the last.
fn schema_number(name: &[String]) -> Option<u32> {
    let [.., schema, _] = name else {
        return None;
    };
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

/// Collects the qualified names in positions where SQL expects a table.
struct TableFinder<'a> {
    tokens: &'a [Token],
    /// Open scopes, the innermost last. The first is the whole statement and is never closed.
    scopes: Vec<Scope>,
    /// Whether the last name was `DISTINCT`, since no table name follows the `FROM` of `IS DISTINCT FROM`.
    after_distinct: bool,
    found: Vec<&'a [String]>,
}

impl<'a> TableFinder<'a> {
    fn new(tokens: &'a [Token]) -> Self {
        let statement_scope = Scope {
            has_clauses: true,
            expects_table: false,
            in_table_list: false,
        };
        TableFinder {
            tokens,
            scopes: vec![statement_scope],
            after_distinct: false,
            found: Vec::new(),
        }
    }

    /// Returns the qualified table names, in the order of the statement.
    fn tables(mut self) -> Vec<&'a [String]> {
        let tokens = self.tokens;
        for (index, token) in tokens.iter().enumerate() {
            match token {
                Token::Punctuation('(') => self.open_scope(tokens.get(index + 1)),
                Token::Punctuation(')') => self.close_scope(),
                Token::Punctuation(',') => {
                    let scope = self.scope();
                    scope.expects_table = scope.in_table_list;
                }
                Token::Punctuation(_) => self.scope().expects_table = false,
                Token::Name(parts) => match parts.as_slice() {
                    [word] => self.handle_word(&word.to_ascii_lowercase()),
                    parts => self.handle_qualified_name(parts),
                },
            }
        }
        self.found
    }

    fn scope(&mut self) -> &mut Scope {
        self.scopes
            .last_mut()
            .expect("the scope of the whole statement is never closed")
    }

    fn open_scope(&mut self, next: Option<&Token>) {
        let is_query = next.is_some_and(|token| starts_with_keyword(token, &["select", "with"]));
        let is_nested = next == Some(&Token::Punctuation('('));
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
        if self.scopes.len() > 1 {
            self.scopes.pop();
        }
        self.after_distinct = false;
    }

    /// Handles a keyword or a name without a schema; `word` is in lower case.
    fn handle_word(&mut self, word: &str) {
        let follows_distinct = std::mem::replace(&mut self.after_distinct, word == "distinct");
        let scope = self.scope();
        if TABLE_KEYWORDS.contains(&word) {
            let is_distinct_from = word == "from" && follows_distinct;
            scope.expects_table = scope.has_clauses && !is_distinct_from;
            scope.in_table_list = scope.expects_table && word == "from";
        } else if CLAUSE_KEYWORDS.contains(&word) {
            scope.expects_table = false;
            scope.in_table_list = false;
        } else {
            scope.expects_table = false;
        }
    }

    fn handle_qualified_name(&mut self, parts: &'a [String]) {
        if std::mem::take(&mut self.scope().expects_table) {
            self.found.push(parts);
        }
        self.after_distinct = false;
    }
}

/// Whether the token is a name whose first part is one of `keywords`.
fn starts_with_keyword(token: &Token, keywords: &[&str]) -> bool {
    match token {
        Token::Name(parts) => parts
            .first()
            .is_some_and(|part| keywords.iter().any(|word| part.eq_ignore_ascii_case(word))),
        Token::Punctuation(_) => false,
    }
}

#[cfg(test)]
mod tests;
