//! Judges the strategy in use, `garnetwall-subset`, by its figures alone.

use super::case::Case;
use super::figure::Figure;
use super::population::Change;
use super::report::Row;
use super::strategy_name::StrategyName;

/// Maximum ratio of the moves to the unavoidable ones.
const MAX_MOVE_RATIO: f64 = 1.05;
/// Maximum sum of the holders' shares of an engine. The module uses 0.6 of a cold engine's budget, so a sum of 1 / 0.6
/// still fits the budget.
const MAX_SUM_OF_SHARES: f64 = 1.0 / 0.6;

/// Result of one check.
#[derive(Debug)]
pub struct Check {
    pub passed: bool,
    pub text: String,
}

/// Checks the figures of `garnetwall-subset` in every fleet and with every size.
pub fn judge(rows: &[Row]) -> Vec<Check> {
    rows.iter()
        .filter(|row| row.case.strategy == StrategyName::Subset)
        .filter_map(judge_row)
        .collect()
}

fn judge_row(row: &Row) -> Option<Check> {
    let (what, allowed) = match row.figure {
        Figure::EnginesWithoutGateway => ("engines held by nobody", 0.0),
        Figure::MovedOverLeast(Change::OneEngine) => {
            ("moves over the least, one engine lost", MAX_MOVE_RATIO)
        }
        Figure::MovedOverLeast(Change::Rack) => {
            ("moves over the least, a rack lost", MAX_MOVE_RATIO)
        }
        Figure::MovedOverLeast(Change::Zone) => {
            ("moves over the least, a zone lost", MAX_MOVE_RATIO)
        }
        Figure::Moved(Change::Gateways) => ("moves of those that stay, gateways lost", 0.0),
        Figure::DifferingGateways => ("gateways that differ from the plain form", 0.0),
        Figure::NotRestored => ("gateways not back at their subset when all is back", 0.0),
        Figure::SumOfShares => (
            "sum of what the holders of an engine take",
            MAX_SUM_OF_SHARES,
        ),
        _ => return None,
    };
    let passed = row.max <= allowed;
    let verdict = if passed { "passed" } else { "FAILED" };
    let Case { fleet, size, .. } = row.case;
    let max = row.max;
    let text = format!("{verdict}: {fleet}, size {size}: {what}: {max:.3}, at most {allowed:.3}");
    Some(Check { passed, text })
}

/// Prints each check and the counts. Returns whether at least one check passed and none failed.
pub fn print_verdict(checks: &[Check]) -> bool {
    checks.iter().for_each(|check| println!("{}", check.text));
    let passed = checks.iter().filter(|check| check.passed).count();
    let failed = checks.len() - passed;
    println!("{passed} passed, {failed} failed");
    failed == 0 && passed > 0
}
