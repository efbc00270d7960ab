//! Entry decisions, servers and the weight store's budget on virtual time.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use fleet::{Name, lease::Moment};
use placement::{
    choice::Costs,
    policy::{Context, Policy},
    popularity::Popularity,
    rendezvous::{self, Server as Place},
    slots::{Key, SlotId},
};
use quota::permit::{Decision, Limiter};
use schedule::queue::Item;

use crate::{
    combination::Combination,
    measure::{Fate, Measures},
    rate_model::{Account, Admission},
    server_model::{Event, Server, Work},
    workload::{self, Demand, Deployment, Request},
};

const TICK: Duration = Duration::from_millis(5);
/// Time that the model goes on after the last arrival.
const TAIL: Duration = Duration::from_secs(60);
const LOAD_TIME: Duration = Duration::from_millis(250);
const HALF_LIFE: Duration = Duration::from_secs(30);
const PATIENCE: Duration = Duration::from_secs(3600);
const IDLE_TICKS: u64 = 20;
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Requests a second for one adapter that one server should see.
const PER_SERVER: f64 = 4.0;

/// A load that waits for the store's budget.
#[derive(Clone)]
struct Wanted {
    server: usize,
    stay: SlotId,
    /// Account of the request that needs it first.
    account: Name,
    rate: u64,
    since: Moment,
}

struct Load {
    wanted: Wanted,
    ends: Moment,
    permit: u64,
}

struct Model<'a> {
    deployment: &'a Deployment,
    requests: &'a [Request],
    policy: &'static Policy,
    costs: Costs,
    now: Moment,
    places: Vec<Place>,
    servers: Vec<Server>,
    popularity: Popularity<usize>,
    office: Limiter,
    wanted: VecDeque<Wanted>,
    loads: Vec<Load>,
    accounts: Vec<Account>,
    admissions: Vec<Option<Admission>>,
    fates: Vec<Fate>,
    turn: usize,
}

/// Runs one combination on one workload; the same seed gives the same figures.
pub fn run(
    deployment: &Deployment,
    combination: &Combination,
    demand: Demand,
    length: Duration,
    seed: u64,
) -> Measures {
    let requests = workload::generate(deployment, demand, length, seed);
    let mut model = Model::new(deployment, combination, &requests);
    model.run(length + TAIL);
    let tokens = model.servers.iter().map(|server| server.tokens).sum();
    let steps = model.servers.iter().map(|server| server.steps).sum();
    Measures::new(deployment, &requests, &model.fates, tokens, steps)
}

impl<'a> Model<'a> {
    fn new(
        deployment: &'a Deployment,
        combination: &Combination,
        requests: &'a [Request],
    ) -> Model<'a> {
        let place = |index: usize| {
            let zone = Arc::from(ZONES[index % ZONES.len()]);
            Place::new(Arc::from(format!("engine-{index}")), zone, 1)
        };
        let account = |index| {
            Account::new(
                combination.rate_limiting,
                workload::limits(deployment, index),
                deployment.entries,
            )
        };
        let accounts = 1 + requests.iter().map(|request| request.account).max().unwrap_or(0);
        Model {
            deployment,
            requests,
            policy: combination.find_policy(),
            costs: Costs { load: LOAD_TIME * 2, per_token: TICK, ..Costs::default() },
            now: Moment::ZERO,
            places: (0..deployment.engines).map(place).collect(),
            servers: (0..deployment.engines)
                .map(|_| Server::new(deployment, combination))
                .collect(),
            popularity: Popularity::new(HALF_LIFE),
            office: Limiter::new(Moment::ZERO, deployment.budget, deployment.budget.burst),
            wanted: VecDeque::new(),
            loads: Vec::new(),
            accounts: (0..accounts).map(account).collect(),
            admissions: requests.iter().map(|_| None).collect(),
            fates: vec![Fate::default(); requests.len()],
            turn: 0,
        }
    }

    fn run(&mut self, length: Duration) {
        let mut next = 0;
        for tick in 0.. {
            self.now = TICK * tick as u32;
            if length <= self.now {
                return;
            }
            while next < self.requests.len() && self.requests[next].arrived <= self.now {
                self.arrive(next);
                next += 1;
            }
            self.end_loads();
            self.begin_loads();
            for server in 0..self.servers.len() {
                let events = self.servers[server].tick(self.now, tick);
                events.into_iter().for_each(|event| self.on_event(server, event));
            }
            if tick.is_multiple_of(IDLE_TICKS) {
                let now = self.now;
                self.accounts.iter_mut().for_each(|account| account.return_idle(now));
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let request = &self.requests[index];
        let cost = request.prompt_tokens + request.max_output_tokens;
        let account = &mut self.accounts[request.account];
        let Some(admission) = account.admit(self.now, request.entry, cost) else {
            self.fates[index].refused = true;
            return;
        };
        self.admissions[index] = Some(admission);
        let server = self.choose(request);
        let adapter = workload::adapter_name(request.adapter);
        let work = Work {
            request: index,
            key: Key { adapter: Arc::clone(&adapter), version: 1 },
            output: request.output_tokens,
        };
        self.servers[server].push(Item {
            account: workload::account_name(request.account),
            group: adapter,
            cost: request.prompt_tokens + request.output_tokens,
            urgency: request.urgency,
            arrived: self.now,
            deadline: self.now + PATIENCE,
            work,
        });
    }

    fn choose(&mut self, request: &Request) -> usize {
        let rate = self.popularity.record(self.now, request.adapter);
        let adapter = workload::adapter_name(request.adapter);
        self.turn += 1;
        let question = Context {
            target_hash: rendezvous::hash(&adapter),
            rate,
            servers: &self.places,
            sequence: self.turn,
            rate_per_server: PER_SERVER,
        };
        let considered = (self.policy.consider)(&question);
        let key = Key { adapter, version: 1 };
        let candidates: Vec<_> =
            considered.iter().map(|index| self.servers[*index].candidate(&key)).collect();
        let chosen = (self.policy.choose)(&self.costs, &candidates);
        considered[chosen.expect("there is always a server to consider")]
    }

    fn begin_loads(&mut self) {
        let wanted = std::mem::take(&mut self.wanted);
        for wanted in wanted {
            match self.office.acquire(self.now, &wanted.account, wanted.rate) {
                Decision::Granted(permit) => self.begin_load(wanted, permit),
                Decision::RetryAfter(_) => self.wanted.push_back(wanted),
            }
        }
    }

    fn begin_load(&mut self, wanted: Wanted, permit: u64) {
        let crowd = (self.loads.len() + 1) as f64 / self.deployment.budget.in_flight as f64;
        let ends = self.now + LOAD_TIME.mul_f64(crowd.max(1.0));
        let waited = (ends - wanted.since).as_secs_f64();
        let known = self.costs.load.as_secs_f64();
        self.costs.load = Duration::from_secs_f64(known * 0.9 + waited * 0.1);
        self.loads.push(Load { wanted, ends, permit });
    }

    fn end_loads(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self.loads.extract_if(.., |load| load.ends <= now).collect();
        for load in ended {
            self.office.release(load.permit);
            self.servers[load.wanted.server].loaded(load.wanted.stay);
        }
    }

    fn on_event(&mut self, server: usize, event: Event) {
        match event {
            Event::Load { stay, request } => {
                let index = self.requests[request].account;
                let account = workload::account_name(index);
                let rate = workload::limits(self.deployment, index).rate;
                self.wanted.push_back(Wanted { server, stay, account, rate, since: self.now });
            }
            Event::Stalled(request) => self.fates[request].stalled = Some(self.now),
            Event::First(request) => self.fates[request].first = Some(self.now),
            Event::Ended(request) => {
                self.fates[request].ended = Some(self.now);
                let Request { account, prompt_tokens, output_tokens, .. } = self.requests[request];
                if let Some(admission) = self.admissions[request].take() {
                    self.accounts[account].settle(
                        self.now,
                        &admission,
                        prompt_tokens + output_tokens,
                    );
                }
            }
        }
    }
}
