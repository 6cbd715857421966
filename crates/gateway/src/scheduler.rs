//! The task that assigns requests to endpoints.
//!
//! The task owns one decision core ([`Core`]) for each pool, and another one while a rollout is in
//! progress there, the endpoints that discovery lists, the organisations' quotas and the retry
//! budgets. Each [`PlacementRequest`] is answered
//! with a [`Grant`] or a [`Refused`], unless it is cancelled first.

mod demand;
mod fleet;
mod placement;
mod rollouts;
mod self_reports;
mod speeds;
mod zone_loads;

use std::{rc::Rc, time::Duration};

use baobabvane_decide::{
    Action, Core, Descriptor, Ending, EndpointKey, EndpointLoad, EndpointSpec, Event, PartRecord,
    PeerSpeeds, Policy, ProcessId, PromptPart, Quarantine, Rank, Reach, SelfReport, SelfReports,
    Senders, StreamReport, Ticket, Why,
};
use baobabvane_tasks::Mailbox;
use local_sync::{mpsc::unbounded, oneshot};
use log::Level;
use monoio::time::Instant;
use rustc_hash::FxHashMap;

pub(crate) use self::placement::{
    Grant, PlacementRequest, QuotaCharge, Refused, id_hash, peer_hash,
};
use self::{
    demand::Demand,
    fleet::{FleetState, Standing},
    placement::process_id,
};
use crate::{
    configuration::{Configuration, DiscoveredEndpoint},
    directory::{Directory, EndpointChange, EndpointList},
    peer::{ASSUMED_FLEET_SHARE, LocalState, PeerState, WaitingRequests},
    prompt::SharedParts,
    quota::QuotaTolerance,
    retry::{FailingEndpoints, RetryBudget, RetryWindow},
    rollouts::{Generation, RolloutMessage, Rollouts},
};

/// The interval at which the scheduler applies due removals of endpoints, and tells the cores
/// the time and the state of the other instances.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// The rank of requests of organisations that use the tolerance of their quota; least urgent.
const TOLERANCE_RANK: Rank = Rank::MAX;
/// The number of tokens in one block of a prompt prefix; shared prefixes are rounded to
/// whole blocks.
pub(crate) const BLOCK_TOKENS: u32 = 256;
/// The memory of the process is divided by this for the predicted prefix caches.
const PREFIX_MEMORY_DIVISOR: usize = 16;
/// What one predicted block takes in the maps that hold it.
const PREFIX_BLOCK_BYTES: usize = 160;
/// The size of the prefix cache, in blocks, of an endpoint that is not a model engine.
const NO_CACHE_BLOCKS: u32 = 0;

/// A message to the scheduler task.
pub(crate) enum SchedulerMessage {
    /// Replaces the configuration.
    Configure(Rc<Configuration>),
    /// Replaces the fleet's retry budget, which applies to each pool.
    SetRetryBudget(RetryBudget),
    /// Replaces how far the use of organisations may exceed their quotas.
    SetQuotaTolerance(QuotaTolerance),
    /// Adds an endpoint or updates its entry.
    UpsertEndpoint(DiscoveredEndpoint),
    /// Removes the endpoint with this id, which discovery no longer lists.
    RemoveEndpoint(String),
    /// Replaces the list of endpoints with the complete list from discovery.
    ReplaceEndpoints(EndpointList),
    /// Reports that service discovery is unreachable; removals of endpoints are delayed.
    DiscoveryUnreachable,
    /// Reports that service discovery answered.
    DiscoveryReachable,
    /// Reports that service discovery has come back from an older copy.
    DiscoveryRestored,
    /// Asks for an endpoint that the request can be sent to.
    Place(Box<PlacementRequest>, oneshot::Sender<Result<Grant, Refused>>),
    /// Cancels the placement of a request that no longer waits for its grant, because its
    /// caller disconnected or its timeout elapsed.
    CancelPlacement(Ticket),
    /// Reports that the first part of a successful answer arrived.
    AnswerStarted(Ticket),
    /// Reports what an endpoint says of itself in an answer, and the time since its request was
    /// sent.
    EndpointReported(EndpointKey, SelfReport, Duration),
    /// Reports how far a successful answer got.
    AnswerProceeded(Ticket, Reach),
    /// Reports that a successful answer ended with its connection, after it had lasted or not.
    AnswerClosed(Ticket, bool),
    /// Reports that the connection of a request broke, after its answer had lasted or not; the
    /// request ends, too.
    ConnectionBroke(Ticket, bool),
    /// Reports the outcome of a dispatched request.
    RequestEnded(Ticket, Ending),
    /// Reports that a request to this endpoint reached another one, which now uses its address.
    MisdirectedRequest(EndpointKey),
    /// Reports the load and the admitted quota units from another instance's heartbeat.
    PeerReport(PeerState),
    /// Updates the number of instances; both counts include this instance.
    InstanceCounts {
        /// The number of instances whose heartbeats arrive.
        live: u32,
        /// The number of instances that may be running: those that have neither announced
        /// their stop nor been silent for long. Until the registered instances are known, it is
        /// at least [`ASSUMED_FLEET_SIZE`](crate::peer::ASSUMED_FLEET_SIZE).
        known: u32,
    },
    /// Updates the live instances, among which the rate limits of endpoints are divided.
    SendersChanged(Senders),
    /// Blocks prompt parts that were found to crash endpoints before this instance began.
    RestoreBlockedParts(Vec<BlockedPart>),
    /// Asks for the blocked prompt parts that instances should know when they begin.
    ListBlockedParts(oneshot::Sender<Vec<BlockedPart>>),
    /// Asks for the state that this instance reports in its heartbeats.
    GetLocalState(oneshot::Sender<LocalState>),
    /// Asks for the complete list of endpoints.
    ListEndpoints(oneshot::Sender<EndpointList>),
    /// Concerns rollouts.
    Rollout(RolloutMessage),
    /// Reports that a request that counts for a rollout is being sent to its endpoint.
    RequestSent(Ticket),
    /// Reports the longest gap between events that a request that counts for a rollout has had.
    LongestGap(Ticket, Duration),
    /// Reports the timing of a stream whose request ends next.
    StreamEnded(Ticket, StreamReport),
}

/// A prompt part that crashes endpoints, as it is kept for instances that begin to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockedPart {
    /// The hash of the part's id.
    pub part: u32,
    /// How much longer requests with the part are refused.
    pub remaining: Duration,
}

/// Identifies a decision core; an order of a rollout adds a core to its pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CoreKey {
    pool: Rc<str>,
    generation: Generation,
}

/// The retries of a pool, of whichever core.
#[derive(Default)]
struct PoolRetries {
    window: RetryWindow,
    failing: FailingEndpoints,
}

struct TrackedRequest {
    core: CoreKey,
    quota_charge: Option<QuotaCharge>,
    standing: Standing,
    shared_parts: SharedParts,
    is_retry: bool,
    /// Whether it tries a blocked part of its prompt.
    is_probe: bool,
    /// The process to which the request was sent, and when.
    sent: Option<(ProcessId, f64)>,
    reply: Option<oneshot::Sender<Result<Grant, Refused>>>,
    /// The endpoint to which the request was sent.
    endpoint: Option<EndpointKey>,
    /// What is needed for rollouts; `None` if they are disabled.
    rollout: Option<Box<RolloutProgress>>,
}

/// The progress of a request as far as rollouts need it.
struct RolloutProgress {
    /// The descriptor, with which a waiting request is offered to another core.
    descriptor: Descriptor,
    /// The core that takes the request if its own has no room for it at once.
    fallback: Option<Generation>,
    /// The endpoint that was granted, if the request counts for an open order.
    endpoint: Option<EndpointKey>,
    is_sent: bool,
    first_ms: Option<f64>,
    gap_ms: Option<f64>,
}

struct Scheduler {
    start: Instant,
    policy: Policy,
    configuration: Rc<Configuration>,
    budget: RetryBudget,
    directory: Directory,
    cores: FxHashMap<CoreKey, Core>,
    retries: FxHashMap<Rc<str>, PoolRetries>,
    /// The core that each endpoint is in; an endpoint in none receives no requests.
    endpoint_cores: FxHashMap<EndpointKey, CoreKey>,
    requests: FxHashMap<Ticket, TrackedRequest>,
    fleet: FleetState,
    quarantine: Quarantine,
    self_reports: SelfReports,
    /// The live instances, among which rate limits are divided.
    senders: Senders,
    /// The requests that callers sent to this instance lately.
    demand: Demand,
    rate_shares_updated_at: f64,
    /// The blocked parts that have been logged.
    logged_blocked_parts: Vec<PromptPart>,
    /// The availability zone of this instance.
    zone: String,
    rollouts: Rollouts,
    /// Until when endpoints remain slow after their start.
    cold_until: FxHashMap<EndpointKey, f64>,
    /// The speeds of endpoints that the other instances of the zone reported.
    peer_speeds: PeerSpeeds,
}

/// Returns how many blocks an instance that may use `memory_bytes` predicts in prefix caches.
pub(crate) fn max_prefix_blocks(memory_bytes: usize) -> usize {
    memory_bytes / PREFIX_MEMORY_DIVISOR / PREFIX_BLOCK_BYTES
}

/// Starts the scheduler task of an instance in the given availability zone.
pub(crate) fn spawn(policy: Policy, zone: &str) -> Mailbox<SchedulerMessage> {
    let (mailbox, rx) = Mailbox::new();
    let scheduler = Scheduler {
        start: Instant::now(),
        // With equal seeds, all instances would choose the same endpoints.
        policy: Policy { block_tokens: BLOCK_TOKENS, seed: rand::random(), ..policy },
        configuration: Rc::default(),
        budget: RetryBudget::default(),
        directory: Directory::default(),
        cores: FxHashMap::default(),
        retries: FxHashMap::default(),
        endpoint_cores: FxHashMap::default(),
        requests: FxHashMap::default(),
        fleet: FleetState::new(id_hash(zone)),
        quarantine: Quarantine::default(),
        self_reports: SelfReports::default(),
        senders: Senders::alone(ASSUMED_FLEET_SHARE),
        demand: Demand::default(),
        rate_shares_updated_at: 0.0,
        logged_blocked_parts: Vec::new(),
        zone: zone.to_owned(),
        rollouts: Rollouts::default(),
        cold_until: FxHashMap::default(),
        peer_speeds: PeerSpeeds::default(),
    };
    monoio::spawn(scheduler.run(rx));
    mailbox
}

impl Scheduler {
    async fn run(mut self, mut rx: unbounded::Rx<SchedulerMessage>) {
        let mut next_tick = Instant::now() + TICK_INTERVAL;
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match monoio::time::timeout(wait, rx.recv()).await {
                Ok(Some(message)) => self.handle_message(message),
                Ok(None) => return,
                Err(_) => {}
            }
            if Instant::now() >= next_tick {
                self.tick();
                next_tick = Instant::now() + TICK_INTERVAL;
            }
        }
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }

    fn handle_message(&mut self, message: SchedulerMessage) {
        let now = self.now();
        match message {
            SchedulerMessage::Configure(configuration) => {
                let is_interactive = configuration.is_interactive();
                self.fleet.set_interactive(is_interactive);
                self.policy.shed_only_late = is_interactive;
                for core in self.cores.values_mut() {
                    core.set_shed_only_late(is_interactive);
                }
                self.fleet.configure(&configuration.organisations, now);
                self.configuration = configuration;
            }
            SchedulerMessage::SetRetryBudget(budget) => self.budget = budget,
            SchedulerMessage::SetQuotaTolerance(tolerance) => {
                self.fleet.set_quota_tolerance(tolerance, now)
            }
            SchedulerMessage::UpsertEndpoint(endpoint) => {
                let changes = self.directory.upsert(endpoint);
                self.apply_endpoint_changes(changes);
            }
            SchedulerMessage::RemoveEndpoint(id) => {
                let change = self.directory.remove_or_delay(&id, now);
                self.apply_endpoint_changes(change);
            }
            SchedulerMessage::ReplaceEndpoints(list) => {
                let changes = self.directory.replace_all(list, now);
                self.apply_endpoint_changes(changes);
            }
            SchedulerMessage::DiscoveryUnreachable => self.directory.set_discovery_unreachable(now),
            SchedulerMessage::DiscoveryReachable => self.directory.record_discovery_answer(now),
            SchedulerMessage::DiscoveryRestored => self.directory.record_restore(now),
            SchedulerMessage::Place(request, reply) => self.place(*request, reply),
            SchedulerMessage::CancelPlacement(ticket) => self.cancel_placement(ticket),
            SchedulerMessage::AnswerStarted(ticket) => {
                if let Some((process, sent_at)) = self.requests.get(&ticket).and_then(|r| r.sent) {
                    self.quarantine.record_start(process, sent_at, now);
                }
                self.record_first_event(ticket, now);
                // A resumed stream gets on with each answer that begins.
                self.record_endpoint_result(ticket, true, now);
                self.notify_request_pool(ticket, Event::FirstToken(ticket))
            }
            SchedulerMessage::AnswerProceeded(ticket, reach) => {
                let Some(request) = self.requests.get(&ticket) else { return };
                for part in self.quarantine.record_answer(&request.shared_parts.0, reach, now) {
                    let crashes = self.quarantine.record_of(part, now).crashes;
                    log::info!(
                        "event=suspect_part_answered part={:08x} crashes={crashes} reach={reach:?}",
                        part.0
                    );
                }
            }
            SchedulerMessage::AnswerClosed(ticket, has_lasted) => {
                if let Some((process, parts)) = self.sent_parts(ticket) {
                    self.quarantine.record_open_end(process, &parts.0, has_lasted, now);
                }
            }
            SchedulerMessage::ConnectionBroke(ticket, has_lasted) => {
                if let Some((process, parts)) = self.sent_parts(ticket) {
                    self.quarantine.record_crash(process, &parts.0, has_lasted, now);
                }
            }
            SchedulerMessage::EndpointReported(key, report, elapsed) => {
                self.record_self_report(key, &report, now - elapsed.as_secs_f64() * 1_000.0, now);
            }
            SchedulerMessage::RequestEnded(ticket, ending) => {
                self.record_rollout_response(ticket, ending, now);
                match ending {
                    Ending::Complete { .. } => self.record_endpoint_result(ticket, true, now),
                    Ending::Failed => self.record_endpoint_result(ticket, false, now),
                    Ending::Lost | Ending::Cancelled => {}
                }
                self.notify_request_pool(ticket, Event::End(ticket, ending));
                self.requests.remove(&ticket);
            }
            SchedulerMessage::MisdirectedRequest(key) => {
                let change = self.directory.remove_misdirected(key);
                self.apply_endpoint_changes(change);
            }
            SchedulerMessage::PeerReport(state) => {
                if let Some(age_ms) = state.store_read_age_ms {
                    self.directory.record_discovery_answer(now - age_ms as f64);
                }
                self.quarantine.merge(&state.local.crash_report, now);
                self.merge_rate_limits(&state, now);
                if self.rollouts.hear(&state, now) {
                    self.assign_all();
                }
                self.merge_endpoint_speeds(&state, now);
                self.fleet.record_heartbeat(state, now);
            }
            SchedulerMessage::InstanceCounts { live, known } => {
                self.fleet.set_instance_counts(live, known, now)
            }
            SchedulerMessage::SendersChanged(senders) => self.senders = senders,
            SchedulerMessage::RestoreBlockedParts(blocked) => {
                for BlockedPart { part, remaining } in blocked {
                    log::info!(
                        "event=prompt_part_restored part={part:08x} s={}",
                        remaining.as_secs()
                    );
                    let remaining_ms = remaining.as_secs_f64() * 1_000.0;
                    self.quarantine.restore(PromptPart(part), remaining_ms, now);
                }
            }
            SchedulerMessage::ListBlockedParts(reply) => {
                let blocks = self.quarantine.lasting_blocks(now).into_iter();
                let blocked = blocks.map(|block| BlockedPart {
                    part: block.part.0,
                    remaining: Duration::from_secs_f64(block.remaining_ms / 1_000.0),
                });
                let _ = reply.send(blocked.collect());
            }
            SchedulerMessage::GetLocalState(reply) => {
                let _ = reply.send(self.local_state());
            }
            SchedulerMessage::ListEndpoints(reply) => {
                let _ = reply.send(self.directory.snapshot(now));
            }
            SchedulerMessage::Rollout(message) => self.handle_rollout_message(message, now),
            SchedulerMessage::RequestSent(ticket) => self.record_sent(ticket),
            SchedulerMessage::LongestGap(ticket, gap) => self.record_gap(ticket, gap),
            SchedulerMessage::StreamEnded(ticket, report) => self.record_stream(ticket, report),
        }
    }

    fn place(&mut self, request: PlacementRequest, reply: oneshot::Sender<Result<Grant, Refused>>) {
        let now = self.now();
        let admitted = self
            .check_parts(&request, now)
            .and_then(|is_probe| Ok((is_probe, self.admit(&request, now)?)));
        let (is_probe, standing) = match admitted {
            Ok(admitted) => admitted,
            Err(refused) => {
                let _ = reply.send(Err(refused));
                return;
            }
        };
        let PlacementRequest {
            ticket, pool, descriptor, shared_parts, quota_charge, is_retry, ..
        } = request;
        let mut descriptor = descriptor;
        if standing == Standing::UsesTolerance {
            descriptor.rank = TOLERANCE_RANK;
        }
        // Times in the descriptor count from this message; the core's times count from the
        // start of the scheduler.
        descriptor.deadline += now;
        if let Some(goal) = &mut descriptor.goal {
            goal.first_token_by += now;
            goal.caller_leaves_at += now;
        }
        let target = self.rollouts.target(&pool, is_retry);
        let core = CoreKey { pool, generation: target.generation };
        let rollout = self.rollouts.is_enabled().then(|| {
            Box::new(RolloutProgress {
                descriptor: descriptor.clone(),
                fallback: target.fallback,
                endpoint: None,
                is_sent: false,
                first_ms: None,
                gap_ms: None,
            })
        });
        self.requests.insert(
            ticket,
            TrackedRequest {
                core: core.clone(),
                quota_charge,
                standing,
                shared_parts,
                is_retry,
                is_probe,
                sent: None,
                reply: Some(reply),
                endpoint: None,
                rollout,
            },
        );
        self.notify_pool(&core, Event::Offer(ticket, descriptor));
        if target.fallback.is_some() && self.is_waiting(&core, ticket) {
            self.notify_pool(&core, Event::Withdraw(ticket));
            self.fall_back(ticket);
        }
    }

    /// Refuses a request that would crash endpoints; returns whether it tries a blocked part.
    fn check_parts(&mut self, request: &PlacementRequest, now: f64) -> Result<bool, Refused> {
        let parts = &request.shared_parts.0;
        let Some(block) = self.quarantine.blocked(parts, request.is_retry, now) else {
            return Ok(false);
        };
        let is_chosen = |part: PromptPart| self.senders.is_chosen(part.0);
        if request.is_retry || !self.quarantine.begin_probe(parts, now, is_chosen) {
            return Err(Refused::Quarantined(block));
        }
        self.log_part(Level::Info, "prompt_part_tried", block.part);
        Ok(true)
    }

    /// Charges a first attempt to the quota and a retry to the retry budget.
    fn admit(&mut self, request: &PlacementRequest, now: f64) -> Result<Standing, Refused> {
        let instances = self.fleet.known_instances();
        let budget = self.budget;
        let is_interactive = self.configuration.is_interactive();
        if is_interactive && request.is_retry && self.are_all_failing(&request.pool, now) {
            return Err(Refused::AllFailing);
        }
        let window = &mut self.retries.entry(Rc::clone(&request.pool)).or_default().window;
        if request.is_retry {
            let allowed = match is_interactive && !request.may_have_run {
                true => window.try_record_unrun_retry(&budget, instances, now),
                false => window.try_record_retry(&budget, instances, now),
            };
            return match allowed {
                true => Ok(Standing::WithinNominal),
                false => Err(Refused::RetryBudget),
            };
        }
        window.record_request(&budget, now);
        self.demand.record(now);
        let Some(quota_charge) = &request.quota_charge else {
            return Ok(Standing::WithinNominal);
        };
        self.fleet.admit(quota_charge, rand::random(), now).map_err(Refused::Quota)
    }

    /// Returns the process that a request was sent to, and the request's shared parts.
    fn sent_parts(&self, ticket: Ticket) -> Option<(ProcessId, SharedParts)> {
        let request = self.requests.get(&ticket)?;
        let (process, _) = request.sent?;
        Some((process, request.shared_parts.clone()))
    }

    /// Records whether the endpoint of a request answered it or failed.
    fn record_endpoint_result(&mut self, ticket: Ticket, has_answered: bool, now: f64) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let Some(endpoint) = request.endpoint else { return };
        let pool = Rc::clone(&request.core.pool);
        let failing = &mut self.retries.entry(pool).or_default().failing;
        match has_answered {
            true => failing.record_answer(endpoint),
            false => failing.record_failure(endpoint, now),
        }
    }

    fn are_all_failing(&self, pool: &Rc<str>, now: f64) -> bool {
        let endpoints = self.directory.iter().filter(|(_, e)| e.pool == **pool);
        let retries = self.retries.get(pool);
        retries.is_some_and(|r| r.failing.are_all(endpoints.map(|(key, _)| key), now))
    }

    fn cancel_placement(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        self.refund_quota(&request);
        // If the reply was already sent, the request was cancelled before its task received the
        // grant; the core then counts the request as dispatched.
        let event = match request.reply {
            Some(_) => Event::Withdraw(ticket),
            None => Event::End(ticket, Ending::Cancelled),
        };
        self.notify_pool(&request.core, event);
    }

    fn refund_quota(&mut self, request: &TrackedRequest) {
        let now = self.now();
        if let Some(quota_charge) = &request.quota_charge {
            self.fleet.refund_quota(quota_charge, request.standing, now);
        }
    }

    fn notify_request_pool(&mut self, ticket: Ticket, event: Event) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let core = request.core.clone();
        self.notify_pool(&core, event);
    }

    fn notify_endpoint_pool(&mut self, key: EndpointKey, event: Event) {
        let Some(core) = self.endpoint_cores.get(&key).cloned() else { return };
        self.notify_pool(&core, event);
    }

    fn core(&mut self, key: &CoreKey) -> &mut Core {
        let policy = &self.policy;
        self.cores.entry(key.clone()).or_insert_with(|| Core::new(policy.clone()))
    }

    fn notify_pool(&mut self, core: &CoreKey, event: Event) {
        let now = self.now();
        self.core(core).handle(now, event);
        self.apply_actions(core);
    }

    /// Executes the pending actions of the pool's core.
    fn apply_actions(&mut self, core: &CoreKey) {
        while let Some(action) = self.core(core).next_action() {
            match action {
                Action::Dispatch(ticket, choice, why) => {
                    let granted = self.directory.get(choice.endpoint).map(|endpoint| Grant {
                        endpoint: choice.endpoint,
                        id: endpoint.id.clone(),
                        address: endpoint.address,
                        expected_first_token_ms: choice.first_token_ms,
                        cached_tokens: choice.cached_tokens,
                        why,
                        is_counted: false,
                    });
                    self.grant(ticket, granted, core);
                }
                Action::Refuse(ticket, ..) if self.has_fallback(ticket) => self.fall_back(ticket),
                Action::Refuse(ticket, refusal, why) => {
                    self.refuse(ticket, Refused::Core { refusal, why });
                }
                // The gateway offers no requests to other availability zones; it refuses them for load.
                Action::Spill(ticket, why) => self.refuse(ticket, Refused::overload(why)),
            }
        }
    }

    fn grant(&mut self, ticket: Ticket, mut grant: Option<Grant>, core: &CoreKey) {
        let now = self.now();
        if let Some(request) = self.requests.get(&ticket).filter(|request| !request.is_probe)
            && let Some(block) =
                self.quarantine.blocked(&request.shared_parts.0, request.is_retry, now)
        {
            self.refuse(ticket, Refused::Quarantined(block));
            self.notify_pool(core, Event::End(ticket, Ending::Cancelled));
            return;
        }
        if let Some(grant) = &mut grant {
            grant.is_counted = self.count_grant(ticket, grant.endpoint);
        }
        let process = grant.as_ref().and_then(|g| self.directory.get(g.endpoint)).map(process_id);
        let reply = self.requests.get_mut(&ticket).and_then(|r| {
            r.sent = process.map(|process| (process, now));
            r.endpoint = grant.as_ref().map(|g| g.endpoint);
            r.reply.take()
        });
        let is_delivered = match (reply, grant) {
            (Some(reply), Some(grant)) => reply.send(Ok(grant)).is_ok(),
            _ => false,
        };
        if is_delivered {
            return;
        }
        if let Some(request) = self.requests.remove(&ticket) {
            self.refund_quota(&request);
        }
        self.notify_pool(core, Event::End(ticket, Ending::Cancelled));
    }

    fn refuse(&mut self, ticket: Ticket, refused: Refused) {
        let Some(mut request) = self.requests.remove(&ticket) else { return };
        self.refund_quota(&request);
        if let Some(reply) = request.reply.take() {
            let _ = reply.send(Err(refused));
        }
    }

    fn apply_endpoint_changes(&mut self, changes: impl IntoIterator<Item = EndpointChange>) {
        let mut joined = Vec::new();
        for change in changes {
            match change {
                EndpointChange::Joined(key) => {
                    let Some(endpoint) = self.directory.get(key).cloned() else { continue };
                    log::info!(
                        "event=endpoint_joined endpoint={} pool={} address={} zone={} slots={}",
                        endpoint.id,
                        endpoint.pool,
                        endpoint.address,
                        endpoint.zone,
                        endpoint.slots
                    );
                    self.self_reports.join(process_id(&endpoint));
                    if self.rollouts.is_enabled() {
                        self.record_cold(key, endpoint.cold_remaining_ms);
                        joined.push(key);
                        continue;
                    }
                    let pool = Rc::from(endpoint.pool.as_str());
                    self.join_core(key, CoreKey { pool, generation: Generation::default() });
                }
                EndpointChange::Leaving(key) => {
                    let Some(endpoint) = self.directory.get(key) else { continue };
                    log::info!("event=endpoint_leaving endpoint={}", endpoint.id);
                    self.notify_endpoint_pool(key, Event::EndpointLeaving(key));
                }
                EndpointChange::Gone(key, endpoint) => {
                    log::info!("event=endpoint_gone endpoint={}", endpoint.id);
                    self.self_reports.forget(process_id(&endpoint));
                    self.peer_speeds.forget(process_id(&endpoint));
                    self.notify_endpoint_pool(key, Event::EndpointGone(key));
                    self.endpoint_cores.remove(&key);
                    self.cold_until.remove(&key);
                }
            }
        }
        self.assign_joined(joined);
    }

    /// Adds an endpoint to a core, or updates it there; it leaves the one that it was in.
    fn join_core(&mut self, key: EndpointKey, core: CoreKey) {
        let Some(endpoint) = self.directory.get(key).cloned() else { return };
        let before = self.endpoint_cores.insert(key, core.clone());
        if let Some(before) = before.filter(|before| *before != core) {
            self.notify_pool(&before, Event::EndpointGone(key));
        }
        let spec = self.endpoint_spec(&endpoint);
        self.notify_pool(&core, Event::EndpointJoined(key, spec));
        // Discovery may not know yet what the endpoint said of itself.
        if endpoint.is_draining || self.self_reports.is_leaving(process_id(&endpoint)) {
            self.notify_pool(&core, Event::EndpointLeaving(key));
        }
    }

    fn endpoint_spec(&self, endpoint: &DiscoveredEndpoint) -> EndpointSpec {
        let engine = self.configuration.engine(&endpoint.pool);
        let cache_blocks = engine.map_or(NO_CACHE_BLOCKS, |e| e.cache_tokens / BLOCK_TOKENS);
        let is_in_other_zone = endpoint.zone != self.zone;
        EndpointSpec { slots: endpoint.slots.max(1), cache_blocks, is_in_other_zone }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.fleet.observe(now);
        let changes = self.directory.apply_due_removals(now);
        self.apply_endpoint_changes(changes);
        self.quarantine.settle_open_ends(now);
        self.log_blocked_parts();
        self.update_peer_loads(now);
        self.update_rate_shares(now);
        self.expire_endpoint_speeds(now);
        self.advance_rollouts(now);
        let cores: Vec<CoreKey> = self.cores.keys().cloned().collect();
        for core in cores {
            let peers_updated = match self.rollouts.is_canary(&core.pool, core.generation) {
                true => self.fleet.canary_peers_updated_event(now),
                false => self.fleet.peers_updated_event(id_hash(&core.pool), now),
            };
            self.notify_pool(&core, peers_updated);
            self.notify_pool(&core, Event::Tick);
        }
    }

    fn log_blocked_parts(&mut self) {
        let now = self.now();
        let mut blocked: Vec<PromptPart> = self.quarantine.blocked_parts(now).collect();
        blocked.sort_unstable();
        if blocked == self.logged_blocked_parts {
            return;
        }
        for part in blocked.iter().filter(|part| !self.logged_blocked_parts.contains(part)) {
            metrics::counter!("baobabvane_gateway_prompt_parts_blocked_total").increment(1);
            self.log_part(Level::Warn, "prompt_part_blocked", *part);
        }
        for part in self.logged_blocked_parts.iter().filter(|part| !blocked.contains(part)) {
            self.log_part(Level::Info, "prompt_part_released", *part);
        }
        self.logged_blocked_parts = blocked;
    }

    fn log_part(&self, level: Level, event: &str, part: PromptPart) {
        let PartRecord { crashes, lasting_age_ms } = self.quarantine.record_of(part, self.now());
        log::log!(
            level,
            "event={event} part={:08x} crashes={crashes} lasting_age_ms={lasting_age_ms:.0?}",
            part.0
        );
    }

    /// Updates the cores' record of the load that other instances put on each endpoint.
    fn update_peer_loads(&mut self, now: f64) {
        let Some(loads) = self.fleet.take_changed_loads(now) else { return };
        let endpoint_loads: Vec<(EndpointKey, EndpointLoad)> = self
            .directory
            .iter()
            .map(|(key, e)| {
                (key, loads.get(&placement::id_hash(&e.id)).copied().unwrap_or_default())
            })
            .collect();
        for (key, load) in endpoint_loads {
            self.notify_endpoint_pool(key, Event::PeerLoadUpdated(key, load));
        }
    }

    fn local_state(&mut self) -> LocalState {
        let now = self.now();
        let zone_use = self.fleet.zone_use(now);
        let endpoint_speeds = self.take_endpoint_speeds();
        let loads =
            self.cores.values().flat_map(|core| core.endpoint_loads()).filter_map(|(key, load)| {
                Some((placement::id_hash(&self.directory.get(key)?.id), load))
            });
        let waiting = self.cores.iter().flat_map(|(key, core)| {
            let pool = id_hash(&key.pool);
            let tiers = core.waiting_by_tier().into_iter();
            tiers.map(move |(rank, count)| WaitingRequests { pool, rank, count })
        });
        let loads: Vec<(u32, EndpointLoad)> = loads.collect();
        let zone_loads = match self.configuration.is_interactive() {
            true => {
                let endpoints = self.directory.iter();
                let mut endpoints: Vec<(u32, u32)> =
                    endpoints.map(|(_, e)| (id_hash(&e.id), id_hash(&e.zone))).collect();
                endpoints.sort_unstable();
                self.fleet.zone_loads(&loads, &endpoints, now)
            }
            false => Vec::new(),
        };
        LocalState {
            loads,
            waiting: waiting.collect(),
            quota_totals: self.fleet.quota_totals(now),
            zone_use,
            crash_report: self.quarantine.report(now),
            rate_limits: self.self_reports.rate_limits(now),
            demand_per_s: self.demand.per_s(now) as f32,
            rollouts: self.rollouts.reports(now),
            zone_loads,
            endpoint_speeds,
        }
    }
}

impl Refused {
    fn overload(why: Why) -> Self {
        Self::Core { refusal: baobabvane_decide::Refusal::Load, why }
    }
}
