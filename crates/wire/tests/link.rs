//! Who gets through to a process, and what a call between processes does when
//! its other end fails.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use kernel::Kernel;
use wire::{
    codec,
    frame::{Call, Reply},
    identity::{self, Files, Role},
    link::Link,
};

const LIMIT: Duration = Duration::from_secs(2);

/// A folder with certificates that is removed in the end.
struct Authority(PathBuf);

impl Authority {
    fn new() -> Authority {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("chivelatch-link-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        identity::generate(&folder).expect("certificates can be made");
        Authority(folder)
    }

    fn open(&self, kernel: &Kernel, role: Role) -> Link {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Link::open(kernel, any, Files::in_folder(&self.0, role)).expect("the certificates fit")
    }
}

impl Drop for Authority {
    fn drop(&mut self) {
        let _left_behind = fs::remove_dir_all(&self.0);
    }
}

/// Answers every call with whether its caller is an entry instance.
fn serve(kernel: &Kernel, link: &Link) -> SocketAddr {
    let address = link.local_address().expect("it is bound");
    let link = link.clone();
    kernel.spawn_detached(async move {
        link.serve(|role, _call, mut exchange| async move {
            let reply = if role == Role::Entry { Reply::Done } else { Reply::Forbidden };
            let _gone = codec::send(&mut exchange.send, &reply).await;
        })
        .await;
    });
    address
}

#[test]
fn a_caller_is_known_by_the_role_in_its_certificate() {
    let authority = Authority::new();

    let replies = kernel::run(2, |kernel| async move {
        let side = authority.open(&kernel, Role::Side);
        let address = serve(&kernel, &side);
        let mut replies = Vec::new();
        for role in [Role::Entry, Role::Operator] {
            let caller = authority.open(&kernel, role);
            replies.push(caller.unary_call(address, Role::Side, &Call::Status, LIMIT).await.ok());
        }
        replies
    });

    assert_eq!(replies, [Some(Reply::Done), Some(Reply::Forbidden)]);
}

#[test]
fn a_process_of_another_fleet_gets_in_nowhere() {
    let [own, foreign] = [(); 2].map(|()| Authority::new());

    let reply = kernel::run(2, |kernel| async move {
        let side = own.open(&kernel, Role::Side);
        let address = serve(&kernel, &side);
        let stranger = foreign.open(&kernel, Role::Entry);
        stranger.unary_call(address, Role::Side, &Call::Status, LIMIT).await
    });

    assert!(reply.is_err());
}

#[test]
fn a_process_of_another_role_is_not_mistaken() {
    let authority = Authority::new();

    let reply = kernel::run(2, |kernel| async move {
        let side = authority.open(&kernel, Role::Side);
        let address = serve(&kernel, &side);
        let caller = authority.open(&kernel, Role::Entry);
        caller.unary_call(address, Role::Entry, &Call::Status, LIMIT).await
    });

    assert!(reply.is_err());
}

#[test]
fn a_call_to_a_process_that_is_gone_fails_when_it_is_disconnected() {
    let authority = Authority::new();

    let (outcome, waited) = kernel::run(2, |kernel| async move {
        let side = authority.open(&kernel, Role::Side);
        let address = side.local_address().expect("it is bound");
        let silent = side.clone();
        kernel.spawn_detached(async move {
            silent
                .serve(|_, _, exchange| async move {
                    // Keeps the stream open and never answers.
                    std::future::pending::<()>().await;
                    drop(exchange);
                })
                .await;
        });
        let caller = authority.open(&kernel, Role::Entry);
        let breaker = caller.clone();
        let clock = kernel.clock.clone();
        kernel.spawn_detached(async move {
            clock.sleep(Duration::from_millis(200)).await;
            breaker.disconnect(address);
        });
        let began = kernel.clock.now();
        let outcome = caller.unary_call(address, Role::Side, &Call::Status, LIMIT * 10).await;
        (outcome, kernel.clock.now() - began)
    });

    assert!(outcome.is_err());
    assert!(waited < LIMIT * 5, "{waited:?}");
}
