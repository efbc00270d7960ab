//! The quick start: an entry instance, side processes and stand-ins on loopback, all in one
//! process, with a demo account and demo adapters.

mod demo;
mod settings_yaml;

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use async_net::TcpListener;
use logforth::record::{Level, LevelFilter};
use snafu::{ResultExt as _, Snafu};

use ::settings::{
    document::{Document, Section},
    problem,
};
use front::server;
use kernel::{Kernel, drain::Drain};
use operator::session;
use standins::{
    engine::{self, Fencing},
    list, log, service, store,
};
use wire::identity;

const EXECUTOR_THREADS: usize = 4;
const ENGINE_COUNT: usize = 2;
const LOG_RETENTION: Duration = Duration::from_secs(86_400);

/// Failure of the quick start.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("{source}"))]
    Identity { source: identity::Error },
    #[snafu(display("{source}"))]
    Listen { source: server::ListenError },
    #[snafu(display("cannot read the address of a stand-in: {source}"))]
    Address { source: io::Error },
    #[snafu(display("{source}"))]
    Settings { source: problem::Error },
    #[snafu(display("{source}"))]
    Entry { source: entry::StartError },
    #[snafu(display("{source}"))]
    Fleet { source: wire::link::OpenError },
    #[snafu(display("cannot publish the demo configuration: {source}"))]
    Demo { source: session::Error },
}

/// Addresses of the stand-ins.
struct Platform {
    log: SocketAddr,
    list: SocketAddr,
    store: SocketAddr,
}

/// Runs the quick start until SIGTERM or Ctrl-C.
pub fn main(listen: SocketAddr) -> ExitCode {
    kernel::logs::install_to(io::stderr(), LevelFilter::MoreSevereEqual(Level::Warn));
    kernel::metrics::install();
    let folder =
        std::env::temp_dir().join(format!("chivelatch-local-{:016x}", rand::random::<u64>()));
    let status = kernel::run(EXECUTOR_THREADS, |kernel| run(kernel, listen, folder.clone()));
    let _may_remain = fs::remove_dir_all(folder);
    status.unwrap_or_else(|error| {
        eprintln!("chivelatch-local: {error}");
        ExitCode::FAILURE
    })
}

async fn run(kernel: Kernel, listen: SocketAddr, folder: PathBuf) -> Result<ExitCode, Error> {
    identity::generate(&folder).context(IdentitySnafu)?;
    let platform = start_platform(&kernel).await?;
    for index in 1..=ENGINE_COUNT {
        let backend = start_engine(&kernel, platform.store).await?;
        start_side(&kernel, &platform, &folder, &settings_yaml::engine(index, backend))?;
    }
    let backend = start_service(&kernel).await?;
    start_side(&kernel, &platform, &folder, &settings_yaml::service(backend))?;
    let text = settings_yaml::entry(&platform.common(&folder, "entry"), listen);
    let settings = read(&text, entry::settings::Settings::read)?;
    let entry = entry::open(&kernel, settings).await.context(EntrySnafu)?;
    let text = settings_yaml::operator(&platform.common(&folder, "operator"));
    let settings = read(&text, operator::settings::Settings::read)?;
    demo::publish(&kernel, settings).await?;
    demo::print_usage(listen);
    Ok(entry.run_to_stop().await)
}

async fn start_platform(kernel: &Kernel) -> Result<Platform, Error> {
    let (log_listener, log) = listener().await?;
    kernel.spawn_detached(log::serve(
        kernel.clone(),
        log_listener,
        Drain::default(),
        LOG_RETENTION,
    ));
    let (list_listener, list) = listener().await?;
    let settings =
        list::Settings { expiry: Duration::from_secs(2), lag: Duration::from_millis(50) };
    kernel.spawn_detached(list::serve(kernel.clone(), list_listener, Drain::default(), settings));
    let (store_listener, store) = listener().await?;
    let settings =
        store::Settings { rate: 3, burst: 8, load: Duration::from_millis(250), in_flight: 8 };
    kernel.spawn_detached(store::serve(kernel.clone(), store_listener, Drain::default(), settings));
    Ok(Platform { log, list, store })
}

async fn start_engine(kernel: &Kernel, store: SocketAddr) -> Result<SocketAddr, Error> {
    let (listener, address) = listener().await?;
    let settings = engine::Settings {
        slots: 8,
        batch: 32,
        step: Duration::from_millis(10),
        restart: Duration::from_secs(2),
        store,
        fencing: Fencing::Enforce,
    };
    kernel.spawn_detached(engine::serve(kernel.clone(), listener, Drain::default(), settings));
    Ok(address)
}

async fn start_service(kernel: &Kernel) -> Result<SocketAddr, Error> {
    let (listener, address) = listener().await?;
    kernel.spawn_detached(service::serve(kernel.clone(), listener, Drain::default()));
    Ok(address)
}

fn start_side(
    kernel: &Kernel,
    platform: &Platform,
    folder: &Path,
    backend: &settings_yaml::Backend,
) -> Result<(), Error> {
    let text = settings_yaml::side(&platform.common(folder, "side"), backend);
    let settings = read(&text, side::settings::Settings::read)?;
    let side = side::open(kernel, settings).context(FleetSnafu)?;
    let side = Arc::clone(&side);
    kernel.spawn_detached(async move {
        side.run_to_stop().await;
    });
    Ok(())
}

async fn listener() -> Result<(TcpListener, SocketAddr), Error> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = server::listen(any).await.context(ListenSnafu)?;
    let address = listener.local_addr().context(AddressSnafu)?;
    Ok((listener, address))
}

fn read<T>(text: &str, read: impl FnOnce(&Section<'_>) -> T) -> Result<T, Error> {
    Document::parse(text).and_then(|document| document.read(read)).context(SettingsSnafu)
}

impl Platform {
    fn common(&self, folder: &Path, role: &'static str) -> settings_yaml::Common {
        settings_yaml::Common { log: self.log, list: self.list, folder: folder.to_owned(), role }
    }
}
