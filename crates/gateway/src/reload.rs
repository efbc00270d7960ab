//! Reload of the settings on SIGHUP, and at intervals in case they changed
//! without a signal.

use std::{sync::Arc, time::Duration};

use futures_lite::{StreamExt as _, future};

use kernel::{drain, event::Event};

use crate::{
    entry::Entry,
    ports::{Reloader, Settings},
};

/// Time between reads of the settings without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Reloads the settings for as long as the process runs.
pub async fn run(entry: Arc<Entry>, reloader: Reloader) {
    let mut hangups = drain::hangups();
    loop {
        let signalled = async { hangups.next().await.is_some() };
        let polled = async {
            entry.kernel.clock.sleep(POLL_INTERVAL).await;
            false
        };
        let is_signalled = future::or(signalled, polled).await;
        match (reloader.0)() {
            Ok(settings) => apply(&entry, &settings, is_signalled),
            Err(problem) => {
                log::warn!(
                    event = Event::Reload, is_signalled;
                    "cannot reload the settings; keeping the previous ones: {problem}"
                );
            }
        }
    }
}

/// Applies the reloadable settings and adds new seeds.
fn apply(entry: &Entry, settings: &Settings, is_signalled: bool) {
    let is_changed = entry.tunable() != settings.tunable;
    if is_changed {
        entry.set_tunable(settings.tunable.clone());
        entry.state_changed.notify(usize::MAX);
    }
    for seed in settings.seeds.iter().filter(|seed| **seed != entry.settings.mesh) {
        entry.peers.lock().add(*seed);
    }
    if is_changed || is_signalled {
        log::info!(event = Event::Reload, is_signalled, is_changed; "settings reloaded");
    }
}
