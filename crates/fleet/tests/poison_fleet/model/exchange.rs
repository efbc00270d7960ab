//! What instances tell each other, over datagrams that may be lost or arrive twice.

use std::sync::Arc;

use rand::RngExt as _;

use fleet::suspect::{Decision, Record, Suspects};

use super::{Event, Fleet, GOSSIP_INTERVAL, Message, TIME_BUDGET, milliseconds};
use crate::day::DAY;

/// Intervals between two reports of all requests in quarantine.
const QUARANTINE_ROUNDS: u64 = 20;

impl Fleet<'_> {
    pub(super) fn tell_changes(&mut self, from: usize) {
        let records = self.instances[from].list.changes(self.now);
        self.tell(from, records);
    }

    pub(super) fn tell(&mut self, from: usize, records: Vec<Record>) {
        if records.is_empty() {
            return;
        }
        for to in (0..self.instances.len()).filter(|to| *to != from) {
            self.transmit(from, to, Message::Records(records.clone()));
        }
    }

    pub(super) fn transmit(&mut self, from: usize, to: usize, message: Message) {
        let copies = match self.random.random::<f64>() {
            draw if draw < self.plan.loss => 0,
            draw if draw < 2.0 * self.plan.loss => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = self.random.random_range(milliseconds(1)..milliseconds(4));
            self.schedule(delay, Event::Deliver { from, to, message: message.clone() });
        }
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let instance = &mut self.instances[to];
        match message {
            Message::Gossip { life } => {
                if instance.heard.insert(from, life) != Some(life) {
                    let records = instance.list.quarantined(self.now);
                    self.transmit(to, from, Message::Records(records));
                }
            }
            Message::Records(records) => {
                instance.is_informed = true;
                for record in &records {
                    instance.list.merge(self.now, record);
                }
            }
            Message::TrialEnd { id } => instance.trials.end(id),
            Message::Ask { id, request, records, server } => {
                let suspects: Suspects = records.iter().map(|record| record.digest).collect();
                for record in &records {
                    instance.list.merge(self.now, record);
                }
                let account = Arc::from("council");
                let decision = instance.list.decide_suspects(self.now, &account, &suspects);
                let may_try = matches!(decision, Decision::Try { .. } | Decision::Allow);
                let is_granted = may_try && self.grant(to, request, id, server, &suspects);
                let records = self.records(to, &suspects);
                let reply = Message::Reply { id, request, server, is_granted, records };
                self.transmit(to, from, reply);
            }
            Message::Reply { id, request, server, is_granted, records } => {
                for record in &records {
                    instance.list.merge(self.now, record);
                }
                if self.requests[request].asked == Some(id) {
                    let suspects = records.iter().map(|record| record.digest).collect();
                    self.conclude(request, id, server, from, is_granted.then_some(suspects));
                }
            }
        }
    }

    pub(super) fn tick(&mut self, index: usize, life: u32) {
        if self.instances[index].life != life || DAY + TIME_BUDGET < self.now {
            return;
        }
        self.instances[index].round += 1;
        for to in (0..self.instances.len()).filter(|to| *to != index) {
            self.transmit(index, to, Message::Gossip { life });
        }
        self.tell_changes(index);
        if self.instances[index].round.is_multiple_of(QUARANTINE_ROUNDS) {
            let records = self.instances[index].list.quarantined(self.now);
            self.tell(index, records);
        }
        self.schedule(GOSSIP_INTERVAL, Event::Tick { instance: index, life });
    }
}
