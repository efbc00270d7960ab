//! Exchange of datagrams between processes: demand reports of entry instances to side processes
//! (`demand`), the status reports of these (`status`), and what entry instances tell each other
//! (`gossip`).
//!
//! The platform has no certificate store, so datagrams are not encrypted. Like the platform, the
//! processes delegation the network of the machines.

mod demand;
mod gossip;
mod peers;
mod status;
mod traffic;

use std::{net::SocketAddr, sync::Arc};

use async_net::UdpSocket;
use front::server::ListenError;

use kernel::event::Event;

use crate::{
    entry::Entry,
    message::{MAX_BYTES, Message, OriginReply},
    origin,
};

pub use gossip::{batches, parts};
pub use peers::{Peer, Peers, Recipients, rank};
pub use traffic::log_regularly;

/// Opens the datagram socket and starts the tasks of an entry instance.
///
/// # Errors
///
/// Returns [`ListenError`] if the port cannot be opened.
pub async fn start_entry(entry: &Arc<Entry>) -> Result<(), ListenError> {
    let socket = Arc::new(open(entry.settings.mesh).await?);
    let _first_time = entry.mesh_socket.set(Arc::clone(&socket));
    let kernel = &entry.kernel;
    kernel.spawn_detached(receive(Arc::clone(entry), Arc::clone(&socket)));
    kernel.spawn_detached(demand::run(Arc::clone(entry), Arc::clone(&socket)));
    kernel.spawn_detached(gossip::relay(Arc::clone(entry), Arc::clone(&socket)));
    kernel.spawn_detached(gossip::run(Arc::clone(entry), socket));
    kernel.spawn_detached(origin::run(Arc::clone(entry)));
    kernel.spawn_detached(log_regularly(kernel.clone()));
    Ok(())
}

/// Opens a datagram socket.
///
/// # Errors
///
/// Returns [`ListenError`] if the port cannot be opened.
pub async fn open(address: SocketAddr) -> Result<UdpSocket, ListenError> {
    UdpSocket::bind(address).await.map_err(|source| ListenError { address, source })
}

/// Sends a datagram without any guarantee; the next one makes up for a lost one.
pub async fn send(socket: &UdpSocket, to: SocketAddr, message: &Message) {
    let Ok(bytes) = postcard::to_stdvec(message) else { return };
    if MAX_BYTES < bytes.len() {
        log::warn!(
            event = Event::Mesh, bytes = bytes.len();
            "dropping a datagram to {to} that is above {MAX_BYTES} bytes"
        );
        return;
    }
    traffic::record_sent(message.kind(), bytes.len());
    let _best_effort = socket.send_to(&bytes, to).await;
}

/// Waits for the next datagram. Returns `None` if it cannot be received or decoded.
pub async fn next(socket: &UdpSocket) -> Option<(SocketAddr, Message)> {
    let mut buffer = [0; MAX_BYTES];
    let (length, from) = socket.recv_from(&mut buffer).await.ok()?;
    let message: Message = postcard::from_bytes(&buffer[..length]).ok()?;
    traffic::record_received(message.kind(), length);
    Some((from, message))
}

async fn receive(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    loop {
        let Some((from, message)) = next(&socket).await else { continue };
        match message {
            Message::Status(report) => status::record_status(&entry, from, report),
            Message::Residents(residents) => status::record_residents(&entry, from, &residents),
            Message::Work { born_ms, slot_usage, work } => {
                status::record_work_update(&entry, from, born_ms, slot_usage, &work);
            }
            Message::News(_) | Message::ForZone(_) | Message::Relayed(_) => {
                gossip::receive(&entry, &socket, from, message).await;
            }
            Message::PermitRequest(request) => {
                let reply = entry.answer_permit_request(&request);
                send(&socket, from, &Message::PermitReply(reply)).await;
            }
            Message::PermitReply(reply) => entry.record_permit_reply(reply),
            Message::TrialRequest(request) => {
                let reply = entry.answer_trial_request(from, &request);
                send(&socket, from, &Message::TrialReply(reply)).await;
            }
            Message::TrialReply(reply) => entry.record_trial_reply(reply),
            Message::TrialEnd { id } => entry.record_trial_end(id),
            Message::OriginNotice(notice) => {
                entry.record_origins(&notice);
                send(&socket, from, &Message::OriginReceipt { id: notice.id }).await;
            }
            Message::ArchiveRequest(notice) => entry.record_delegated(from, &notice),
            Message::OriginReceipt { id } => entry.record_origin_receipt(id),
            Message::OriginRequest { id, key } => {
                let reply = OriginReply { id, answer: entry.known_origin(&key) };
                send(&socket, from, &Message::OriginReply(reply)).await;
            }
            Message::OriginReply(reply) => entry.record_origin_reply(from, reply),
            Message::Demand(_)
            | Message::EarlierGossip
            | Message::EarlierLeaving
            | Message::EarlierUsage
            | Message::EarlierLimits
            | Message::EarlierSuspects
            | Message::EarlierTrialRequest
            | Message::EarlierTrialReply => {}
        }
    }
}
