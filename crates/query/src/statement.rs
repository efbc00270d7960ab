//! What an operator can say.

use fleet::change::{Access, Repeat, Urgency};

/// One statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    Show(Show),
    Explain { request: String },
    Help,
    Command(Command),
}

/// A question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Show {
    pub subject: Subject,
    pub conditions: Vec<Condition>,
    pub order: Option<Order>,
    pub limit: Option<u64>,
}

/// What a question is about.
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

/// One condition on a column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    pub column: String,
    pub comparison: Comparison,
    pub value: String,
}

/// How a column compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
    /// The column contains the value.
    Contains,
}

/// In which order rows come.
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

/// A change of the configuration.
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
    /// Every subject with its name in the language.
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
