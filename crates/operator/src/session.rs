//! An operator's session: runs statements against the fleet.
//!
//! Tables of the configuration are built from the log, other tables from the status reports of
//! all listed instances. Instances that do not respond are left out.

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
    statement::{Command, Query, Statement},
    table::{Table, UnknownColumn},
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

/// Interval for checking whether a change is in force.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection of an operator to the platform and the instances.
pub struct Session {
    kernel: Kernel,
    settings: Settings,
    log: Log,
    list: List,
    link: Link,
    replica: Replica,
}

/// Output of a statement.
#[derive(Clone, Debug)]
pub enum Outcome {
    Table(Table),
    Text(String),
}

/// Failure of a statement.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("{source}"))]
    Parse { source: parse::Error },
    #[snafu(display("{source}"))]
    Column { source: UnknownColumn },
    #[snafu(display("{source}"))]
    Publish { source: publish::Error },
    #[snafu(display("cannot read the instance list: {source}"))]
    List { source: http::Error },
    #[snafu(display("account `{account}` exists; use `set account` to change its limits"))]
    AccountExists { account: String },
    #[snafu(display(
        "neither the log nor an instance responds; check the addresses in the settings"
    ))]
    NoState,
}

/// Point at which a command returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// All listed instances use the change, or [`Settings::force_timeout`] has elapsed.
    UntilInForce,
    /// The log contains the change, and it was not rejected.
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

    /// Runs one statement.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn run(&mut self, text: &str, wait: Wait) -> Result<Outcome, Error> {
        match parse::statement(text).context(ParseSnafu)? {
            Statement::Help => Ok(Outcome::Text(verb::help().join("\n"))),
            Statement::Show(query) => self.show(&query).await.map(Outcome::Table),
            Statement::Explain { request } => self.explain(&request).await.map(Outcome::Table),
            Statement::Command(command) => self.execute(command, wait).await.map(Outcome::Text),
        }
    }

    async fn show(&mut self, query: &Query) -> Result<Table, Error> {
        let state = self.state().await?;
        let table = match tables::from_state(query.subject, &state) {
            Some(table) => table,
            None => {
                let statuses = self.statuses().await?;
                tables::from_statuses(query.subject, &state, &statuses)
            }
        };
        table.apply(query).context(ColumnSnafu)
    }

    async fn explain(&self, request: &str) -> Result<Table, Error> {
        let mut steps = Vec::new();
        for member in self.listing().await?.members {
            let call = Call::Explain { request: Arc::from(request) };
            if let Some(Reply::Explanation(found)) = self.call_instance(&member, &call).await {
                steps.extend(found);
            }
        }
        Ok(tables::from_steps(steps))
    }

    async fn execute(&mut self, command: Command, wait: Wait) -> Result<String, Error> {
        let state = self.state().await?;
        let (change, secret) = to_change(command, &state)?;
        let author = self.settings.author.clone();
        let accepted =
            publish::publish(&self.kernel, &self.log, &mut self.replica, &author, change)
                .await
                .context(PublishSnafu)?;
        let mut text = format!("accepted at revision {}", accepted.revision);
        if wait == Wait::UntilInForce {
            let (in_force, all) = self.wait_until_in_force(accepted).await?;
            text.push_str(&format!("; in force on {in_force} of {all} instances"));
        }
        if let Some(secret) = secret {
            text.push_str(&format!("\nkey (shown only now): {secret}"));
        }
        Ok(text)
    }

    /// Returns the newest configuration, read from the instances if the log is unavailable or
    /// incomplete.
    async fn state(&mut self) -> Result<Arc<State>, Error> {
        if let Err(error) = publish::catch_up(&self.log, &mut self.replica).await {
            log::warn!("cannot read the log: {error}; using the configuration of the instances");
            self.sync_from_instances().await?;
        }
        if self.replica.has_gap() {
            log::warn!(
                "old records of the log have expired; using the configuration of the instances"
            );
            self.sync_from_instances().await?;
        }
        self.replica.state().cloned().ok_or(Error::NoState)
    }

    /// Updates the replica from instances that have read more of the log.
    async fn sync_from_instances(&mut self) -> Result<(), Error> {
        for member in self.listing().await?.members {
            let call = Call::Sync { next: self.replica.sync_offset() };
            if let Some(Reply::Update(update)) = self.call_instance(&member, &call).await
                && update != Update::Nothing
            {
                self.replica.apply(update);
            }
        }
        Ok(())
    }

    /// Waits until a change is in force. Returns the number of instances on which it is, and of all
    /// listed instances.
    async fn wait_until_in_force(&self, accepted: Accepted) -> Result<(usize, usize), Error> {
        let deadline = self.kernel.clock.now() + self.settings.force_timeout;
        loop {
            let statuses = self.statuses().await?;
            let is_in_force = |status: &&Status| accepted.revision <= status.revision;
            let in_force = statuses.iter().filter(is_in_force).count();
            let all = self.listing().await?.members.len();
            if in_force == all || deadline <= self.kernel.clock.now() {
                return Ok((in_force, all));
            }
            self.kernel.clock.sleep(IN_FORCE_POLL_INTERVAL).await;
        }
    }

    /// Requests the status of all listed instances at once.
    async fn statuses(&self) -> Result<Vec<Status>, Error> {
        let members = self.listing().await?.members;
        let calls: Vec<_> = members
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
        for call in calls {
            if let Ok(Reply::Status(status)) = call.await {
                statuses.push(*status);
            }
        }
        Ok(statuses)
    }

    /// Reads the instance list without an `ETag`, so that the platform returns the whole list.
    async fn listing(&self) -> Result<Listing, Error> {
        match (self.list.read)(None).await.context(ListSnafu)? {
            Refresh::Changed { listing, .. } => Ok(listing),
            Refresh::Unchanged => Ok(Listing::default()),
        }
    }

    /// Returns the reply of one instance, or `None` if it does not respond.
    async fn call_instance(&self, member: &Member, call: &Call) -> Option<Reply> {
        let role = identity_role(member.role);
        self.link.unary_call(member.address, role, call, CALL_TIMEOUT).await.ok()
    }
}

/// Converts a command to a change. If the command issues a key without stating a secret, generates
/// one and returns it as well.
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
            let is_generated = secret.is_none();
            let secret = secret.unwrap_or_else(new_secret);
            let digest = Digest::of(&secret);
            let change = Change::IssueKey { account: name(account), key: name(key), digest };
            return Ok((change, is_generated.then_some(secret)));
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

/// Returns a secret of 256 random bits.
fn new_secret() -> String {
    let words: [u64; 4] = rand::random();
    let words: Vec<_> = words.iter().map(|word| format!("{word:016x}")).collect();
    format!("cl_{}", words.concat())
}
