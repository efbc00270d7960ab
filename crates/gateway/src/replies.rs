//! Replies to datagrams that ask a peer for something, by the id of the request.

use std::collections::HashMap;

use parking_lot::Mutex;

/// Replies that are awaited or have arrived.
#[derive(Debug)]
pub struct Replies<T> {
    /// `None` while the reply is awaited.
    slots: Mutex<HashMap<u64, Option<T>>>,
    arrived: event_listener::Event,
}

/// An awaited reply, which is forgotten when this is dropped.
pub struct Awaited<'a, T> {
    replies: &'a Replies<T>,
    id: u64,
}

impl<T> Default for Replies<T> {
    fn default() -> Replies<T> {
        Replies { slots: Mutex::default(), arrived: event_listener::Event::new() }
    }
}

impl<T> Replies<T> {
    /// Starts to await the reply to a request.
    pub fn expect(&self, id: u64) -> Awaited<'_, T> {
        self.slots.lock().insert(id, None);
        Awaited { replies: self, id }
    }

    /// Records a reply, if it is still awaited.
    pub fn record(&self, id: u64, reply: T) {
        if let Some(slot) = self.slots.lock().get_mut(&id) {
            *slot = Some(reply);
        }
        self.arrived.notify(usize::MAX);
    }

    /// Returns the number of awaited replies.
    pub fn len(&self) -> usize {
        self.slots.lock().len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl<T> Awaited<'_, T> {
    /// Waits for the reply.
    pub async fn reply(&self) -> T {
        loop {
            let arrived = self.replies.arrived.listen();
            if let Some(reply) = self.replies.slots.lock().get_mut(&self.id).and_then(Option::take)
            {
                return reply;
            }
            arrived.await;
        }
    }
}

impl<T> Drop for Awaited<'_, T> {
    fn drop(&mut self) {
        self.replies.slots.lock().remove(&self.id);
    }
}
