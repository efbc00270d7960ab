//! Simulation of a whole fleet on virtual time: the decisions of the entry instances, the backend
//! servers and the load budget of the weight store. The same input gives the same figures.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use fleet::{Name, lease::Moment};
use placement::{
    choice::Costs,
    policy::{Context, Policy},
    popularity::Popularity,
    rendezvous::{self, Server as RoutingServer},
    slots::{Key, SlotId},
};
use quota::permit::{Decision, Limiter};
use schedule::queue::Item;

use crate::{
    combination::Combination,
    measure::{Measures, Outcome},
    rate_model::{Account, Admission},
    server_model::{Event, Server, Work},
    workload::{self, Demand, Deployment, Request},
};

/// Step of the virtual time.
const TICK: Duration = Duration::from_millis(5);
/// Time that the simulation continues after the last arrival, so that requests can complete.
const DRAIN_TIME: Duration = Duration::from_secs(60);
/// Time to load an adapter while no more loads are in flight than the budget allows.
const LOAD_TIME: Duration = Duration::from_millis(250);
/// Half-life of the request counts by adapter.
const POPULARITY_HALF_LIFE: Duration = Duration::from_secs(30);
/// Time from the arrival of a request to its deadline. No request expires in the simulation.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3600);
/// Ticks between two returns of idle grants.
const TICKS_PER_IDLE_RETURN: u64 = 20;
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Target for the requests per second for one adapter on one server.
const RATE_PER_SERVER: f64 = 4.0;

/// Load of an adapter that waits for a permit from the load budget.
#[derive(Clone)]
struct PendingLoad {
    server: usize,
    slot: SlotId,
    /// Account of the request that caused the load.
    account: Name,
    /// Rate limit of the account.
    rate: u64,
    requested_at: Moment,
}

/// Load of an adapter in progress.
struct Load {
    request: PendingLoad,
    ends_at: Moment,
    permit: u64,
}

/// State of a simulation.
struct Model<'a> {
    deployment: &'a Deployment,
    requests: &'a [Request],
    policy: &'static Policy,
    /// Contributions to the expected wait; `load` is a moving average.
    costs: Costs,
    now: Moment,
    /// Servers as the routing policies see them, in the order of `servers`.
    routing_servers: Vec<RoutingServer>,
    servers: Vec<Server>,
    popularity: Popularity<usize>,
    /// Limiter for the load budget of the weight store.
    load_limiter: Limiter,
    pending_loads: VecDeque<PendingLoad>,
    /// Loads in flight.
    loads: Vec<Load>,
    /// Rate limiter of each account.
    accounts: Vec<Account>,
    /// Reservation of each request in flight.
    admissions: Vec<Option<Admission>>,
    /// Outcome of each request.
    outcomes: Vec<Outcome>,
    /// Sequence number of the last routing decision.
    sequence: usize,
}

/// Simulates one combination of policies on the workload of a seed.
pub fn run(
    deployment: &Deployment,
    combination: &Combination,
    demand: Demand,
    duration: Duration,
    seed: u64,
) -> Measures {
    let requests = workload::generate(deployment, demand, duration, seed);
    let mut model = Model::new(deployment, combination, &requests);
    model.run(duration + DRAIN_TIME);
    let tokens = model.servers.iter().map(|server| server.tokens).sum();
    let steps = model.servers.iter().map(|server| server.steps).sum();
    Measures::new(deployment, &requests, &model.outcomes, tokens, steps)
}

impl<'a> Model<'a> {
    fn new(
        deployment: &'a Deployment,
        combination: &Combination,
        requests: &'a [Request],
    ) -> Model<'a> {
        let routing_server = |index: usize| {
            let zone = Arc::from(ZONES[index % ZONES.len()]);
            RoutingServer::new(Arc::from(format!("engine-{index}")), zone, 1)
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
            routing_servers: (0..deployment.engines).map(routing_server).collect(),
            servers: (0..deployment.engines)
                .map(|_| Server::new(deployment, combination))
                .collect(),
            popularity: Popularity::new(POPULARITY_HALF_LIFE),
            load_limiter: Limiter::new(Moment::ZERO, deployment.budget, deployment.budget.burst, 0),
            pending_loads: VecDeque::new(),
            loads: Vec::new(),
            accounts: (0..accounts).map(account).collect(),
            admissions: requests.iter().map(|_| None).collect(),
            outcomes: vec![Outcome::default(); requests.len()],
            sequence: 0,
        }
    }

    fn run(&mut self, duration: Duration) {
        let mut next = 0;
        for tick in 0.. {
            self.now = TICK * tick as u32;
            if duration <= self.now {
                return;
            }
            while next < self.requests.len() && self.requests[next].arrived <= self.now {
                self.on_arrival(next);
                next += 1;
            }
            self.finish_loads();
            self.start_loads();
            for server in 0..self.servers.len() {
                let events = self.servers[server].tick(self.now, tick);
                events.into_iter().for_each(|event| self.on_event(server, event));
            }
            if tick.is_multiple_of(TICKS_PER_IDLE_RETURN) {
                let now = self.now;
                self.accounts.iter_mut().for_each(|account| account.return_idle(now));
            }
        }
    }

    fn on_arrival(&mut self, index: usize) {
        let request = &self.requests[index];
        let cost = request.prompt_tokens + request.max_output_tokens;
        let account = &mut self.accounts[request.account];
        let Some(admission) = account.admit(self.now, request.entry, cost) else {
            self.outcomes[index].is_rejected = true;
            return;
        };
        self.admissions[index] = Some(admission);
        let server = self.choose(request);
        let adapter = workload::adapter_name(request.adapter);
        let work = Work {
            request: index,
            key: Key { adapter: Arc::clone(&adapter), version: 1 },
            output_tokens: request.output_tokens,
        };
        self.servers[server].push(Item {
            account: workload::account_name(request.account),
            group: adapter,
            cost: request.prompt_tokens + request.output_tokens,
            urgency: request.urgency,
            arrived: self.now,
            deadline: self.now + REQUEST_TIMEOUT,
            work,
        });
    }

    fn choose(&mut self, request: &Request) -> usize {
        let rate = self.popularity.record(self.now, request.adapter);
        let adapter = workload::adapter_name(request.adapter);
        self.sequence += 1;
        let context = Context {
            target_hash: rendezvous::hash(&adapter),
            rate,
            servers: &self.routing_servers,
            sequence: self.sequence,
            rate_per_server: RATE_PER_SERVER,
        };
        let ranking = (self.policy.consider)(&context);
        let key = Key { adapter, version: 1 };
        let candidates: Vec<_> =
            ranking.iter().map(|index| self.servers[*index].candidate(&key)).collect();
        let selected = (self.policy.choose)(&self.costs, &candidates);
        ranking[selected.expect("the policy considers at least one server")]
    }

    fn start_loads(&mut self) {
        let pending_loads = std::mem::take(&mut self.pending_loads);
        for pending in pending_loads {
            match self.load_limiter.acquire(self.now, &pending.account, pending.rate) {
                Decision::Granted(permit) => self.start_load(pending, permit),
                Decision::RetryAfter(_) => self.pending_loads.push_back(pending),
            }
        }
    }

    fn start_load(&mut self, request: PendingLoad, permit: u64) {
        let utilization = (self.loads.len() + 1) as f64 / self.deployment.budget.in_flight as f64;
        let ends_at = self.now + LOAD_TIME.mul_f64(utilization.max(1.0));
        let waited = (ends_at - request.requested_at).as_secs_f64();
        let average = self.costs.load.as_secs_f64();
        self.costs.load = Duration::from_secs_f64(average * 0.9 + waited * 0.1);
        self.loads.push(Load { request, ends_at, permit });
    }

    fn finish_loads(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self.loads.extract_if(.., |load| load.ends_at <= now).collect();
        for load in ended {
            self.load_limiter.release(load.permit);
            self.servers[load.request.server].load_succeeded(load.request.slot);
        }
    }

    fn on_event(&mut self, server: usize, event: Event) {
        match event {
            Event::Load { slot, request } => {
                let index = self.requests[request].account;
                let account = workload::account_name(index);
                let rate = workload::limits(self.deployment, index).rate;
                self.pending_loads.push_back(PendingLoad {
                    server,
                    slot,
                    account,
                    rate,
                    requested_at: self.now,
                });
            }
            Event::Stalled(request) => self.outcomes[request].stalled_at = Some(self.now),
            Event::FirstToken(request) => self.outcomes[request].first_token_at = Some(self.now),
            Event::Ended(request) => {
                self.outcomes[request].ended_at = Some(self.now);
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
