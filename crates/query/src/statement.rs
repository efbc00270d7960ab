//! Syntax tree of the statements that operators enter: queries of the fleet's state and commands
//! that change its configuration.

use fleet::change::{Access, Repeat, Urgency};

/// A parsed statement. `Explain` lists the decisions that the instances recorded about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    Show(Query),
    Explain { request: String },
    Help,
    Command(Command),
}

/// The query of a `show` statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    pub subject: Subject,
    /// Conditions that a row must all satisfy.
    pub conditions: Vec<Condition>,
    pub order: Option<Order>,
    /// Maximum number of rows.
    pub limit: Option<u64>,
}

/// The table that a query reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    Accounts,
    Keys,
    Adapters,
    Routes,
    Instances,
    Servers,
    Slots,
    Queues,
    Holders,
    Configuration,
}

/// A condition on the value in a column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    pub column: String,
    pub comparison: Comparison,
    pub value: String,
}

/// A comparison operator, with the column on the left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
    /// The text of the column contains the value.
    Contains,
}

/// Sort order of the rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub column: String,
    pub direction: Direction,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Ascending,
    Descending,
}

/// A command that changes the configuration.
///
/// `CreateAccount` fails if the account exists, `SetAccount` creates it or replaces its limits.
/// Rates are in tokens per second, bursts in tokens. `IssueKey` generates a key id or secret that
/// is not stated. `Select` sets the version for requests without an explicit version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    CreateAccount { account: String, rate: u64, burst: u64 },
    SetAccount { account: String, rate: u64, burst: u64 },
    IssueKey { account: String, key: Option<String>, secret: Option<String> },
    WithdrawKey { key: String },
    Publish { adapter: String, version: u32, model: String },
    Select { adapter: String, version: u32 },
    Unpublish { adapter: String, version: u32 },
    Drain { server: String },
    Restore { server: String },
    SetRoute { route: String, access: Access, repeat: Repeat, urgency: Urgency },
    RemoveRoute { route: String },
}

impl Subject {
    /// Every subject with its keyword.
    pub const ALL: [(&'static str, Subject); 10] = [
        ("accounts", Subject::Accounts),
        ("keys", Subject::Keys),
        ("adapters", Subject::Adapters),
        ("routes", Subject::Routes),
        ("instances", Subject::Instances),
        ("servers", Subject::Servers),
        ("slots", Subject::Slots),
        ("queues", Subject::Queues),
        ("holders", Subject::Holders),
        ("configuration", Subject::Configuration),
    ];
}
