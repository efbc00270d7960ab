//! Guards against processes that accept or trust a peer without a certificate of the fleet or of
//! the required role, and against calls that wait for a peer that has exited.

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
    link::{Error, Link},
};

/// Time limit of a call.
const LIMIT: Duration = Duration::from_secs(2);

/// Temporary folder with an authority and certificates, removed on drop.
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
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Link::open(kernel, any_port, Files::in_folder(&self.0, role))
            .expect("the certificates match")
    }
}

impl Drop for Authority {
    fn drop(&mut self) {
        let _result = fs::remove_dir_all(&self.0);
    }
}

/// Replies `Done` to every call of an entry instance and `Forbidden` to any other.
fn serve(kernel: &Kernel, link: &Link) -> SocketAddr {
    let address = link.local_address().expect("the endpoint is bound");
    let link = link.clone();
    kernel.spawn_detached(async move {
        link.serve(|role, _call, mut exchange| async move {
            let reply = if role == Role::Entry { Reply::Done } else { Reply::Forbidden };
            let _disconnected = codec::send(&mut exchange.send, &reply).await;
        })
        .await;
    });
    address
}

#[test]
fn identifies_caller_role_by_certificate() {
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
fn rejects_caller_of_another_fleet() {
    let [own_fleet, other_fleet] = [(); 2].map(|()| Authority::new());

    let reply = kernel::run(2, |kernel| async move {
        let side = own_fleet.open(&kernel, Role::Side);
        let address = serve(&kernel, &side);
        let caller = other_fleet.open(&kernel, Role::Entry);
        caller.unary_call(address, Role::Side, &Call::Status, LIMIT).await
    });

    assert!(reply.is_err());
}

#[test]
fn rejects_peer_with_unexpected_role() {
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
fn disconnect_fails_pending_call() {
    let authority = Authority::new();

    let (outcome, waited) = kernel::run(2, |kernel| async move {
        let side = authority.open(&kernel, Role::Side);
        let address = side.local_address().expect("the endpoint is bound");
        let silent = side.clone();
        kernel.spawn_detached(async move {
            silent
                .serve(|_, _, exchange| async move {
                    // Keeps the stream open without a reply.
                    std::future::pending::<()>().await;
                    drop(exchange);
                })
                .await;
        });
        let caller = authority.open(&kernel, Role::Entry);
        let disconnecting = caller.clone();
        let clock = kernel.clock.clone();
        kernel.spawn_detached(async move {
            clock.sleep(Duration::from_millis(200)).await;
            disconnecting.disconnect(address);
        });
        let started_at = kernel.clock.now();
        let outcome = caller.unary_call(address, Role::Side, &Call::Status, LIMIT * 10).await;
        (outcome, kernel.clock.now() - started_at)
    });

    assert!(outcome.is_err());
    assert!(waited < LIMIT * 5, "{waited:?}");
}

/// Serves calls that take `time` each.
fn serve_slowly(kernel: &Kernel, link: &Link, time: Duration) -> SocketAddr {
    let address = link.local_address().expect("the endpoint is bound");
    let (link, clock) = (link.clone(), kernel.clock.clone());
    kernel.spawn_detached(async move {
        link.serve(move |_, _, mut exchange| {
            let clock = clock.clone();
            async move {
                clock.sleep(time).await;
                let _disconnected = codec::send(&mut exchange.send, &Reply::Done).await;
            }
        })
        .await;
    });
    address
}

#[test]
fn delivers_replies_in_progress_before_it_closes() {
    let authority = Authority::new();

    let replies = kernel::run(2, |kernel| async move {
        let side = authority.open(&kernel, Role::Side);
        let address = serve_slowly(&kernel, &side, Duration::from_millis(300));
        let caller = authority.open(&kernel, Role::Entry);
        let calls: Vec<_> = (0..20)
            .map(|_| {
                let caller = caller.clone();
                kernel.spawn(async move {
                    caller.unary_call(address, Role::Side, &Call::Status, LIMIT).await.ok()
                })
            })
            .collect();
        kernel.clock.sleep(Duration::from_millis(150)).await;
        side.close().await;
        let mut replies = Vec::new();
        for call in calls {
            replies.push(call.await);
        }
        replies
    });

    assert_eq!(replies, vec![Some(Reply::Done); 20]);
}

#[test]
fn tells_callers_of_a_stopped_process_that_their_calls_were_not_read() {
    let authority = Authority::new();

    let (during, after) = kernel::run(2, |kernel| async move {
        let side = authority.open(&kernel, Role::Side);
        let address = serve_slowly(&kernel, &side, Duration::from_millis(300));
        let caller = authority.open(&kernel, Role::Entry);
        let early = caller.clone();
        let first = kernel.spawn(async move {
            early.unary_call(address, Role::Side, &Call::Status, LIMIT).await.ok()
        });
        kernel.clock.sleep(Duration::from_millis(100)).await;
        let closing = kernel.spawn(async move { side.close().await });
        kernel.clock.sleep(Duration::from_millis(50)).await;
        let during = caller.unary_call(address, Role::Side, &Call::Status, LIMIT).await;
        let _first = first.await;
        closing.await;
        let after = caller.unary_call(address, Role::Side, &Call::Status, LIMIT).await;
        (during, after)
    });

    assert!(matches!(during, Err(Error::Stopped { .. })), "{during:?}");
    assert!(matches!(after, Err(Error::Stopped { .. })), "{after:?}");
}
