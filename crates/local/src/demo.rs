//! What the quick start publishes and prints.

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

const ADAPTERS: u32 = 50;
const VERSIONS: u32 = 2;

/// Publishes an account, a key, routes and adapters.
pub(crate) async fn publish(kernel: &Kernel, settings: Settings) -> Result<(), Error> {
    let mut session = Session::open(kernel, settings).context(FleetSnafu)?;
    for statement in statements() {
        session.run(&statement, Wait::UntilAccepted).await.context(DemoSnafu)?;
    }
    let last = "set route stock key idempotent interactive";
    session.run(last, Wait::UntilInForce).await.context(DemoSnafu)?;
    Ok(())
}

/// Prints what to try first.
pub(crate) fn greet(listen: SocketAddr) {
    let text = format!(
        "chivelatch answers on {listen}. Try:\n\n  curl http://{listen}/v1/chat/completions \\\n    \
         -H 'Authorization: Bearer demo-key' -H 'Content-Type: application/json' \\\n    \
         -d '{{\"model\": \"council-001@2\", \"max_tokens\": 12, \
         \"messages\": [{{\"role\": \"user\", \"content\": \"hello\"}}]}}'\n\n\
         Ctrl-C stops it.\n"
    );
    // Whoever has read enough may have closed the other end; that must not end the program.
    let _nobody_reads = io::stdout().write_all(text.as_bytes());
}

fn statements() -> impl Iterator<Item = String> {
    let fixed = [
        "create account demo rate 10000 burst 40000",
        "issue key for demo named demo secret demo-key",
        "set route orders key non-idempotent interactive",
    ];
    let versions = (1..=ADAPTERS).flat_map(|adapter| {
        (1..=VERSIONS).map(move |version| {
            format!("publish council-{adapter:03} version {version} on demo-base")
        })
    });
    fixed.into_iter().map(str::to_owned).chain(versions)
}
