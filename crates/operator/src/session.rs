//! One operator at work.

use std::{sync::Arc, time::Duration};

use snafu::{ResultExt as _, Snafu};

use fleet::{
    change::Change,
    digest::Digest,
    member::{Listing, Member},
    replica::{Replica, Update},
    state::State,
};
use kernel::Kernel;
use node::identity_role;
use query::{
    parse,
    statement::{Command, Show, Statement},
    table::{NoColumn, Table},
    verb,
};
use services::{
    http,
    list::{List, Refresh},
    log::Log,
};
use wire::{
    frame::{Call, Reply, Status},
    link::{Link, OpenError},
};

use crate::{
    publish::{self, Accepted},
    settings::Settings,
    tables,
};

/// Pause between two looks at whether a change is in force.
const FORCE_PAUSE: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// An operator's connection to the fleet.
pub struct Session {
    kernel: Kernel,
    settings: Settings,
    log: Log,
    list: List,
    link: Link,
    replica: Replica,
}

/// What a statement led to.
#[derive(Clone, Debug)]
pub enum Outcome {
    Table(Table),
    Text(String),
}

/// Why a statement failed.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("{source}"))]
    Parse { source: parse::Error },
    #[snafu(display("{source}"))]
    Column { source: NoColumn },
    #[snafu(display("{source}"))]
    Publish { source: publish::Error },
    #[snafu(display("the instance list cannot be read: {source}"))]
    List { source: http::Error },
    #[snafu(display("account `{account}` exists; use `set account` to change its limits"))]
    AccountExists { account: String },
    #[snafu(display(
        "neither the log nor an instance answers; check the addresses in the settings"
    ))]
    NoState,
}

/// Whether commands wait until they are in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Patience {
    UntilInForce,
    UntilAccepted,
}

impl Session {
    /// Opens a session.
    ///
    /// # Errors
    ///
    /// The operator's certificate or address cannot be used.
    pub fn open(kernel: &Kernel, settings: Settings) -> Result<Session, OpenError> {
        let link = Link::open(kernel, settings.address, settings.identity.clone())?;
        Ok(Session {
            kernel: kernel.clone(),
            log: Log::over_http(kernel, settings.log, settings.platform_timeout),
            list: List::over_http(kernel, settings.list, settings.platform_timeout),
            link,
            replica: Replica::default(),
            settings,
        })
    }

    /// Carries out one statement.
    ///
    /// # Errors
    ///
    /// See [`Error`]; its message names the remedy.
    pub async fn run(&mut self, text: &str, patience: Patience) -> Result<Outcome, Error> {
        match parse::statement(text).context(ParseSnafu)? {
            Statement::Help => Ok(Outcome::Text(verb::help().join("\n"))),
            Statement::Show(show) => self.show(&show).await.map(Outcome::Table),
            Statement::Explain { request } => self.explain(&request).await.map(Outcome::Table),
            Statement::Command(command) => self.command(command, patience).await.map(Outcome::Text),
        }
    }

    async fn show(&mut self, show: &Show) -> Result<Table, Error> {
        let state = self.state().await?;
        let table = match tables::of_state(show.subject, &state) {
            Some(table) => table,
            None => {
                let statuses = self.statuses().await?;
                tables::of_statuses(show.subject, &state, &statuses)
            }
        };
        table.select(show).context(ColumnSnafu)
    }

    async fn explain(&self, request: &str) -> Result<Table, Error> {
        let mut steps = Vec::new();
        for member in self.listing().await?.members {
            let call = Call::Explain { request: Arc::from(request) };
            if let Some(Reply::Explanation(found)) = self.ask(&member, &call).await {
                steps.extend(found);
            }
        }
        Ok(tables::of_steps(steps))
    }

    async fn command(&mut self, command: Command, patience: Patience) -> Result<String, Error> {
        let state = self.state().await?;
        let (change, secret) = to_change(command, &state)?;
        let author = self.settings.author.clone();
        let accepted =
            publish::publish(&self.kernel, &self.log, &mut self.replica, &author, change)
                .await
                .context(PublishSnafu)?;
        let mut text = format!("accepted at revision {}", accepted.revision);
        if patience == Patience::UntilInForce {
            let (in_force, all) = self.wait_for_force(accepted).await?;
            text.push_str(&format!("; in force on {in_force} of {all} instances"));
        }
        if let Some(secret) = secret {
            text.push_str(&format!("\nkey (shown only now): {secret}"));
        }
        Ok(text)
    }

    /// The newest configuration: from the log, or from an instance while it is out.
    async fn state(&mut self) -> Result<Arc<State>, Error> {
        if let Err(error) = publish::read(&self.log, &mut self.replica).await {
            log::warn!("the log cannot be read, asking the instances: {error}");
            self.read_from_instances().await?;
        }
        if self.replica.has_gap() {
            log::warn!("old records have expired, asking the instances");
            self.read_from_instances().await?;
        }
        self.replica.state().cloned().ok_or(Error::NoState)
    }

    async fn read_from_instances(&mut self) -> Result<(), Error> {
        for member in self.listing().await?.members {
            let call = Call::Sync { next: self.replica.sync_offset() };
            if let Some(Reply::Update(update)) = self.ask(&member, &call).await
                && update != Update::Nothing
            {
                self.replica.apply(update);
            }
        }
        Ok(())
    }

    async fn wait_for_force(&self, accepted: Accepted) -> Result<(usize, usize), Error> {
        let deadline = self.kernel.clock.now() + self.settings.force_timeout;
        loop {
            let statuses = self.statuses().await?;
            let is_in_force = |status: &&Status| accepted.revision <= status.revision;
            let in_force = statuses.iter().filter(is_in_force).count();
            let all = self.listing().await?.members.len();
            if in_force == all || deadline <= self.kernel.clock.now() {
                return Ok((in_force, all));
            }
            self.kernel.clock.sleep(FORCE_PAUSE).await;
        }
    }

    async fn statuses(&self) -> Result<Vec<Status>, Error> {
        let members = self.listing().await?.members;
        let asking: Vec<_> = members
            .into_iter()
            .map(|member| {
                let link = self.link.clone();
                self.kernel.spawn(async move {
                    let role = identity_role(member.role);
                    link.unary_call(member.address, role, &Call::Status, CALL_TIMEOUT).await
                })
            })
            .collect();
        let mut statuses = Vec::new();
        for asked in asking {
            if let Ok(Reply::Status(status)) = asked.await {
                statuses.push(*status);
            }
        }
        Ok(statuses)
    }

    async fn listing(&self) -> Result<Listing, Error> {
        match (self.list.read)(None).await.context(ListSnafu)? {
            Refresh::Changed { listing, .. } => Ok(listing),
            Refresh::Unchanged => Ok(Listing::default()),
        }
    }

    async fn ask(&self, member: &Member, call: &Call) -> Option<Reply> {
        let role = identity_role(member.role);
        self.link.unary_call(member.address, role, call, CALL_TIMEOUT).await.ok()
    }
}

/// The change that a command stands for, and the secret of a key that it issues.
fn to_change(command: Command, state: &State) -> Result<(Change, Option<String>), Error> {
    let name = |text: String| Arc::<str>::from(text);
    let change = match command {
        Command::CreateAccount { account, .. } if state.accounts.contains_key(&*account) => {
            return AccountExistsSnafu { account }.fail();
        }
        Command::CreateAccount { account, rate, burst }
        | Command::SetAccount { account, rate, burst } => {
            Change::SetAccount { account: name(account), rate, burst }
        }
        Command::IssueKey { account, key, secret } => {
            let key = key.unwrap_or_else(|| format!("key-{:08x}", rand::random::<u32>()));
            let shown = secret.is_none();
            let secret = secret.unwrap_or_else(new_secret);
            let digest = Digest::of(&secret);
            let change = Change::IssueKey { account: name(account), key: name(key), digest };
            return Ok((change, shown.then_some(secret)));
        }
        Command::WithdrawKey { key } => Change::WithdrawKey { key: name(key) },
        Command::Publish { adapter, version, model } => {
            Change::PublishVersion { adapter: name(adapter), version, model: name(model) }
        }
        Command::Select { adapter, version } => {
            Change::SelectVersion { adapter: name(adapter), version }
        }
        Command::Unpublish { adapter, version } => {
            Change::UnpublishVersion { adapter: name(adapter), version }
        }
        Command::Drain { server } => Change::DrainServer { server: name(server) },
        Command::Restore { server } => Change::RestoreServer { server: name(server) },
        Command::SetRoute { route, access, repeat, urgency } => {
            Change::SetRoute { route: name(route), access, repeat, urgency }
        }
        Command::RemoveRoute { route } => Change::RemoveRoute { route: name(route) },
    };
    Ok((change, None))
}

/// 256 random bits.
fn new_secret() -> String {
    let words: [u64; 4] = rand::random();
    let words: Vec<_> = words.iter().map(|word| format!("{word:016x}")).collect();
    format!("cl_{}", words.concat())
}
