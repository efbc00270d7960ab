//! Demo configuration of the quick start, and the usage text that it prints.

use std::{
    io::{self, Write as _},
    net::SocketAddr,
};

use snafu::ResultExt as _;

use kernel::Kernel;
use operator::{
    session::{Session, Wait},
    settings::Settings,
};

use crate::{DemoSnafu, Error, FleetSnafu};

const ADAPTER_COUNT: u32 = 50;
const VERSIONS_PER_ADAPTER: u32 = 2;

/// Publishes an account, a key, routes and adapters, and waits until they are in force.
pub(crate) async fn publish(kernel: &Kernel, settings: Settings) -> Result<(), Error> {
    let mut session = Session::open(kernel, settings).context(FleetSnafu)?;
    for statement in statements() {
        session.run(&statement, Wait::UntilAccepted).await.context(DemoSnafu)?;
    }
    let last = "set route stock key idempotent interactive";
    session.run(last, Wait::UntilInForce).await.context(DemoSnafu)?;
    Ok(())
}

/// Prints an example request.
pub(crate) fn print_usage(listen: SocketAddr) {
    let text = format!(
        "chivelatch answers on {listen}. Try:\n\n  \
         curl http://{listen}/v1/chat/completions \\\n    \
         -H 'Authorization: Bearer demo-key' -H 'Content-Type: application/json' \\\n    \
         -d '{{\"model\": \"council-001@2\", \"max_tokens\": 12, \
         \"messages\": [{{\"role\": \"user\", \"content\": \"hello\"}}]}}'\n\n\
         Ctrl-C stops it.\n"
    );
    // Standard output may already be closed, for example by `head`; keep serving.
    let _stdout_closed = io::stdout().write_all(text.as_bytes());
}

fn statements() -> impl Iterator<Item = String> {
    let setup = [
        "create account demo rate 10000 burst 40000",
        "issue key for demo named demo secret demo-key",
        "set route orders key non-idempotent interactive",
    ];
    let versions = (1..=ADAPTER_COUNT).flat_map(|adapter| {
        (1..=VERSIONS_PER_ADAPTER).map(move |version| {
            format!("publish council-{adapter:03} version {version} on demo-base")
        })
    });
    setup.into_iter().map(str::to_owned).chain(versions)
}
