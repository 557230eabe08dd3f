//! The baseline policy that each module is compared with: first come first served, to the endpoint
//! with the fewest connections in use, opening a connection for each request that finds none idle.

use ragwort_policy::RequestProfile;
use ragwort_policy::RequestTicket;
use std::collections::VecDeque;

/// The state of an instance in the baseline policy.
#[derive(Clone, Debug, Default)]
pub struct PlainEndpoint {
    pub connections: u32,
    pub open: u32,
    pub used: u32,
}

/// The instance that a request is sent to, and whether a connection must be opened for it.
#[derive(Clone, Copy, Debug)]
pub struct PlainDispatch {
    pub ticket: RequestTicket,
    pub instance: usize,
    pub connect: bool,
}

/// The baseline policy.
#[derive(Clone, Debug)]
pub struct PlainScheduler {
    pub endpoints: Vec<PlainEndpoint>,
    waiting: VecDeque<RequestProfile>,
}

impl PlainScheduler {
    pub fn new(endpoints: Vec<PlainEndpoint>) -> Self {
        Self {
            endpoints,
            waiting: VecDeque::new(),
        }
    }

    pub fn arrive(&mut self, profile: RequestProfile) {
        self.waiting.push_back(profile);
    }

    pub fn finished(&mut self, instance: usize) {
        self.endpoints[instance].used -= 1;
    }

    /// Removes requests whose deadline has passed.
    pub fn drop_expired(&mut self, now: ragwort_policy::ClockTime) -> Vec<RequestTicket> {
        let expired = self
            .waiting
            .iter()
            .filter(|profile| profile.deadline <= now);
        let tickets = expired.map(|profile| profile.ticket).collect();
        self.waiting.retain(|profile| profile.deadline > now);
        tickets
    }

    /// Sends all requests that can be sent; `may_serve` decides which instances may serve a
    /// request.
    pub fn poll(
        &mut self,
        may_serve: impl Fn(&RequestProfile, usize) -> bool,
    ) -> Vec<PlainDispatch> {
        let mut dispatches = Vec::new();
        let mut waiting = VecDeque::new();
        while let Some(profile) = self.waiting.pop_front() {
            let free = (0..self.endpoints.len())
                .filter(|index| self.endpoints[*index].used < self.endpoints[*index].connections)
                .filter(|index| may_serve(&profile, *index))
                .min_by_key(|index| self.endpoints[*index].used);
            let Some(instance) = free else {
                waiting.push_back(profile);
                continue;
            };
            let endpoint = &mut self.endpoints[instance];
            let connect = endpoint.used >= endpoint.open;
            endpoint.used += 1;
            endpoint.open = endpoint.open.max(endpoint.used);
            dispatches.push(PlainDispatch {
                ticket: profile.ticket,
                instance,
                connect,
            });
        }
        self.waiting = waiting;
        dispatches
    }
}
