//! The verbs of the language.
//!
//! Each verb registers itself with `inventory`; the parser and `help` iterate over the registered
//! verbs.

use winnow::{
    ModalResult, Parser as _,
    combinator::{alt, fail, opt, preceded},
    error::{StrContext, StrContextValue},
};

use fleet::change::{Access, Repeat, Urgency};

use crate::{
    parse::{Input, cut, keyword, name, number, query},
    statement::{Command, Statement},
};

/// A verb and its parser.
#[derive(Debug)]
pub struct Verb {
    /// The keyword that starts the statement.
    pub word: &'static str,
    /// Syntax of the statement, one line of `help`.
    pub usage: &'static str,
    /// Parses what follows the verb.
    pub parse: fn(&mut Input<'_>) -> ModalResult<Statement>,
}

inventory::collect!(Verb);

/// Returns the usage lines of all verbs in alphabetical order.
pub fn help() -> Vec<&'static str> {
    let mut lines: Vec<_> = inventory::iter::<Verb>.into_iter().map(|verb| verb.usage).collect();
    lines.sort_unstable();
    lines
}

/// Parses a verb and what follows it.
pub(crate) fn statement(input: &mut Input<'_>) -> ModalResult<Statement> {
    for verb in inventory::iter::<Verb> {
        if opt(keyword(verb.word)).parse_next(input)?.is_some() {
            return cut((verb.parse)(input));
        }
    }
    fail.context(StrContext::Expected(StrContextValue::Description("a verb"))).parse_next(input)
}

inventory::submit! { Verb {
    word: "show",
    usage: "show SUBJECT [where COLUMN =|!=|<|<=|>|>=|~ VALUE [and …]] \
            [order by COLUMN [desc]] [limit N]",
    parse: |input| query(input).map(Statement::Show),
} }

inventory::submit! { Verb {
    word: "explain",
    usage: "explain REQUEST",
    parse: |input| name(input).map(|request| Statement::Explain { request }),
} }

inventory::submit! { Verb {
    word: "help",
    usage: "help",
    parse: |_| Ok(Statement::Help),
} }

inventory::submit! { Verb {
    word: "create",
    usage: "create account NAME rate TOKENS_PER_SECOND burst TOKENS",
    parse: |input| {
        let (account, rate, burst) = account(input)?;
        Ok(Statement::Command(Command::CreateAccount { account, rate, burst }))
    },
} }

inventory::submit! { Verb {
    word: "set",
    usage: "set account NAME rate TOKENS_PER_SECOND burst TOKENS | \
            set route NAME open|key idempotent|non-idempotent interactive|batch",
    parse: |input| {
        let command = alt((
            account.map(|(account, rate, burst)| Command::SetAccount { account, rate, burst }),
            route,
        ));
        command.map(Statement::Command).parse_next(input)
    },
} }

inventory::submit! { Verb {
    word: "issue",
    usage: "issue key for ACCOUNT [named ID] [secret SECRET]",
    parse: |input| {
        let account = preceded((keyword("key"), keyword("for")), name).parse_next(input)?;
        let key = opt(preceded(keyword("named"), name)).parse_next(input)?;
        let secret = opt(preceded(keyword("secret"), name)).parse_next(input)?;
        Ok(Statement::Command(Command::IssueKey { account, key, secret }))
    },
} }

inventory::submit! { Verb {
    word: "withdraw",
    usage: "withdraw key ID",
    parse: |input| {
        let key = preceded(keyword("key"), name).parse_next(input)?;
        Ok(Statement::Command(Command::WithdrawKey { key }))
    },
} }

inventory::submit! { Verb {
    word: "publish",
    usage: "publish ADAPTER version N on MODEL",
    parse: |input| {
        let (adapter, version) = version(input)?;
        let model = preceded(keyword("on"), name).parse_next(input)?;
        Ok(Statement::Command(Command::Publish { adapter, version, model }))
    },
} }

inventory::submit! { Verb {
    word: "select",
    usage: "select ADAPTER version N",
    parse: |input| {
        let (adapter, version) = version(input)?;
        Ok(Statement::Command(Command::Select { adapter, version }))
    },
} }

inventory::submit! { Verb {
    word: "unpublish",
    usage: "unpublish ADAPTER version N",
    parse: |input| {
        let (adapter, version) = version(input)?;
        Ok(Statement::Command(Command::Unpublish { adapter, version }))
    },
} }

inventory::submit! { Verb {
    word: "drain",
    usage: "drain server NAME",
    parse: |input| {
        let server = preceded(keyword("server"), name).parse_next(input)?;
        Ok(Statement::Command(Command::Drain { server }))
    },
} }

inventory::submit! { Verb {
    word: "restore",
    usage: "restore server NAME",
    parse: |input| {
        let server = preceded(keyword("server"), name).parse_next(input)?;
        Ok(Statement::Command(Command::Restore { server }))
    },
} }

inventory::submit! { Verb {
    word: "remove",
    usage: "remove route NAME",
    parse: |input| {
        let route = preceded(keyword("route"), name).parse_next(input)?;
        Ok(Statement::Command(Command::RemoveRoute { route }))
    },
} }

fn account(input: &mut Input<'_>) -> ModalResult<(String, u64, u64)> {
    keyword("account")(input)?;
    let account = cut(name(input))?;
    let rate = cut(preceded(keyword("rate"), number).parse_next(input))?;
    let burst = cut(preceded(keyword("burst"), number).parse_next(input))?;
    Ok((account, rate, burst))
}

fn version(input: &mut Input<'_>) -> ModalResult<(String, u32)> {
    let adapter = name(input)?;
    let version = preceded(keyword("version"), number).parse_next(input)?;
    Ok((adapter, version))
}

fn route(input: &mut Input<'_>) -> ModalResult<Command> {
    let route = preceded(keyword("route"), name).parse_next(input)?;
    let access = alt((keyword("open").value(Access::Open), keyword("key").value(Access::Key)));
    let access = cut(access.context(expected("open or key")).parse_next(input))?;
    let repeat = alt((
        keyword("idempotent").value(Repeat::Idempotent),
        keyword("non-idempotent").value(Repeat::NonIdempotent),
    ));
    let repeat = cut(repeat.context(expected("idempotent or non-idempotent")).parse_next(input))?;
    let urgency = alt((
        keyword("interactive").value(Urgency::Interactive),
        keyword("batch").value(Urgency::Batch),
    ));
    let urgency = cut(urgency.context(expected("interactive or batch")).parse_next(input))?;
    Ok(Command::SetRoute { route, access, repeat, urgency })
}

fn expected(description: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(description))
}
