//! Parse stage: finds the data set of a query in its SQL statement. It is the number after the last underscore in the name of
//! the schema that the statement reads or writes. Strings, comments and the schema `staging` do not count.

mod tokens;

use tokens::{tokenize, Token};

/// The schema that holds no data set.
const STAGING_SCHEMA: &str = "staging";

/// Keywords after which a table is named.
const TABLE_KEYWORDS: [&str; 9] = [
    "from", "join", "into", "update", "table", "using", "only", "copy", "truncate",
];
/// Keywords that end the list of tables after `FROM`.
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

/// The data set that a statement reads or writes: that of the first table that is named as one and has a number, else of the
/// first qualified name that has one. None where no schema has a number.
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

/// The number of a qualified name's schema, which is the part before the last.
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

/// The text between a pair of parentheses, or the statement itself.
#[derive(Clone, Copy)]
struct Scope {
    /// Whether keywords of clauses count: `FROM` as in `trim(a FROM b)` names no table.
    has_clauses: bool,
    /// The next name is that of a table.
    expects_table: bool,
    /// A table follows the next comma.
    in_table_list: bool,
}

/// Finds the qualified names that stand where a table is named.
struct TableFinder<'a> {
    tokens: &'a [Token],
    /// The open scopes, the innermost last; the statement itself is never closed.
    scopes: Vec<Scope>,
    /// The last name was `DISTINCT`: the `FROM` of `IS DISTINCT FROM` names no table.
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

    /// The names of tables, in the order of the statement.
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
            .expect("the scope of the statement is never closed")
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

    /// A keyword, or a name without a schema.
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

/// Whether the first part of a name is one of these keywords.
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
