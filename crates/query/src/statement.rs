//! Syntax tree of the statements that operators enter: queries of the fleet's state and commands
//! that change its configuration.

use fleet::change::{Access, Repeat, Urgency};

/// A parsed statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    Show(Query),
    /// Lists the decisions that the instances recorded about a request.
    Explain {
        request: String,
    },
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

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Fails if the account exists.
    CreateAccount {
        account: String,
        rate: u64,
        burst: u64,
    },
    /// Creates the account or replaces its limits: `rate` in tokens per second, `burst` in tokens.
    SetAccount {
        account: String,
        rate: u64,
        burst: u64,
    },
    /// A key id or secret that is not stated is generated.
    IssueKey {
        account: String,
        key: Option<String>,
        secret: Option<String>,
    },
    WithdrawKey {
        key: String,
    },
    Publish {
        adapter: String,
        version: u32,
        model: String,
    },
    /// Selects the version for requests without an explicit version.
    Select {
        adapter: String,
        version: u32,
    },
    Unpublish {
        adapter: String,
        version: u32,
    },
    Drain {
        server: String,
    },
    Restore {
        server: String,
    },
    SetRoute {
        route: String,
        access: Access,
        repeat: Repeat,
        urgency: Urgency,
    },
    RemoveRoute {
        route: String,
    },
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
