//! One order at one instance: the share of the new version, the verdict, promotion and the status.

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{
    evidence::{Assessment, Evidence, Finding, Response, RouteEvidence, Tally},
    order::{Cohort, Millis, Order, OrderKey, Phase, Settings, Status},
};

/// The part of the exposure fraction that is used. The rest covers requests that an instance counts
/// and whose callers gave up before they reached an endpoint.
const USED_EXPOSURE_SHARE: f64 = 0.9;
/// The number of responses of a new version from which it may be good.
const MIN_RESPONSES: u32 = 30;
/// The share of the order's duration for which nothing may speak against a version.
const CLEAN_SHARE: f64 = 0.4;
/// The share of the duration after which fewer responses are enough, as the traffic is too low, and
/// the share of the duration without suspicion that is enough then.
const LATE_SHARE: f64 = 0.6;
const LATE_CLEAN_SHARE: f64 = 0.2;
/// The share of the duration for which all requests go to the new version before the order is
/// completed, so that a fault under full load still shows while the old endpoints run.
const PROMOTED_SHARE: f64 = 0.1;
/// The new endpoints need this share of the old ones' slots before all requests go to them.
const MIN_SLOT_SHARE: f64 = 0.5;
/// The final status is written this long before the deadline at the latest, which leaves time for a
/// failed append and for another controller; in short orders, this share of the duration.
const FINAL_MARGIN_MS: Millis = 1_200.0;
const MAX_FINAL_MARGIN_SHARE: f64 = 0.1;
/// A peer or a zone that was not heard for so long may not be heard at all. In the largest fleets, a
/// heartbeat from another zone arrives every 3 s.
const SILENCE_MS: Millis = 4_000.0;
/// An instance that did not run for so long may have missed heartbeats; it decides nothing for the
/// fleet until it has caught up.
const MAX_PAUSE_MS: Millis = 500.0;
const CATCH_UP_MS: Millis = 1_000.0;
/// A version is bad if the responses of this time are as bad as those before; a crash or a pause of a
/// machine is over by then.
const CONFIRMATION_MS: Millis = 1_000.0;
/// The shortest time between two comparisons of the versions, which sum up all instances' counters.
const COMPARE_INTERVAL_MS: Millis = 100.0;
/// The most incarnations of other instances whose evidence is kept.
const MAX_REPORTERS: usize = 2_048;

/// An incarnation of an instance that reports evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Reporter {
    /// A hash of the instance's address.
    pub instance: u32,
    /// A number that differs between the starts of the instance.
    pub incarnation: u64,
}

/// What an instance tells the others of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The order.
    pub order: OrderKey,
    /// The time since the order was written, as far as it is known, in milliseconds.
    pub age_ms: u32,
    /// How far the order is.
    pub phase: Phase,
    /// Whether some instance found the version bad.
    pub is_bad: bool,
    /// The requests of the sender that are at old endpoints.
    pub old_in_flight: u32,
    /// The requests that the sender sent to the new version.
    pub new_sent: u32,
    /// Whether the sender knows that the order has not ended before it learned of it.
    pub is_confirmed: bool,
    /// The responses that the sender counted; `None` if this report leaves them out to be short.
    pub routes: Option<Vec<RouteEvidence>>,
}

/// The endpoints of the pool, and the part of this instance in the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolView {
    /// The slots of the old endpoints that accept requests.
    pub old_slots: u32,
    /// The slots of the new endpoints that accept requests.
    pub new_slots: u32,
    /// The requests of this instance at old endpoints.
    pub old_in_flight: u32,
    /// Whether this instance decides for the fleet. It must be able to write to the store.
    pub is_controller: bool,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    zone: u32,
    heard_at: Millis,
    /// Whether it sends all requests to the new version and has none at old endpoints.
    has_moved: bool,
}

#[derive(Clone, Debug, Default)]
struct Counted {
    new_sent: u32,
    routes: Vec<RouteEvidence>,
}

/// An order as one instance follows it.
#[derive(Clone, Debug)]
pub struct Rollout {
    order: Order,
    settings: Settings,
    /// When the order was written, on the driver's clock.
    written_at: Millis,
    phase: Phase,
    is_bad: bool,
    /// Whether the order is known not to have ended before this instance learned of it.
    is_confirmed: bool,
    promoted_at: Option<Millis>,
    /// The status that the store is known to have.
    stored: Option<Status>,
    /// The requests of this instance that were sent to either version.
    sent: u64,
    new_sent: u32,
    own: Evidence,
    peers: FxHashMap<u32, Peer>,
    counted: FxHashMap<Reporter, Counted>,
    /// The evidence of all instances, as of the last advance.
    known: Evidence,
    has_changed: bool,
    compared_at: Option<Millis>,
    is_suspicious: bool,
    finding: Option<Finding>,
    first_response_at: Option<Millis>,
    last_suspicion_at: Option<Millis>,
    /// A finding that is to be confirmed, and when it was made.
    candidate: Option<(Millis, Finding)>,
    advanced_at: Option<Millis>,
    caught_up_at: Millis,
    view: PoolView,
}

impl Rollout {
    /// Begins to follow an order that was written `age_ms` ago.
    ///
    /// If the order was not seen being written, it may have ended long ago. Nothing is sent to the
    /// new version until the store or another instance tells that it has not.
    pub fn new(
        order: Order,
        settings: Settings,
        age_ms: Millis,
        was_seen_written: bool,
        now: Millis,
    ) -> Self {
        Self {
            order,
            settings,
            written_at: now - age_ms,
            phase: Phase::Canary,
            is_bad: false,
            is_confirmed: was_seen_written,
            promoted_at: None,
            stored: None,
            sent: 0,
            new_sent: 0,
            own: Evidence::default(),
            peers: FxHashMap::default(),
            counted: FxHashMap::default(),
            known: Evidence::default(),
            has_changed: false,
            compared_at: None,
            is_suspicious: false,
            finding: None,
            first_response_at: None,
            last_suspicion_at: None,
            candidate: None,
            advanced_at: None,
            caught_up_at: now,
            view: PoolView::default(),
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns how far the order is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether the version was found bad, here or elsewhere.
    pub fn is_bad(&self) -> bool {
        self.is_bad
    }

    /// Returns why this instance found the version bad; `None` if another one did.
    pub fn finding(&self) -> Option<Finding> {
        self.finding
    }

    /// Returns the counted responses of a version at all instances.
    pub fn total(&self, cohort: Cohort) -> Tally {
        self.known.total(cohort)
    }

    /// Returns the time since the order was written, as far as it is known.
    pub fn age_ms(&self, now: Millis) -> Millis {
        now - self.written_at
    }

    /// Returns the share of this instance's requests that may go to the new version in the canary.
    pub fn canary_share(&self) -> f64 {
        USED_EXPOSURE_SHARE * self.settings.exposure_fraction
    }

    /// Returns whether requests may go to the new version at all.
    pub fn allows_new(&self) -> bool {
        match self.phase {
            Phase::Completed => true,
            Phase::Reverted => false,
            Phase::Canary | Phase::Promoting => {
                !self.is_bad && (self.is_confirmed || self.has_only_new())
            }
        }
    }

    /// Returns whether the store has to be read to know whether the order has ended.
    pub fn needs_status(&self) -> bool {
        !self.is_confirmed && !self.phase.is_final()
    }

    /// Returns whether all requests go to the new version.
    pub fn is_promoted(&self) -> bool {
        self.allows_new() && (self.phase != Phase::Canary || self.has_only_new())
    }

    /// Returns whether no old endpoint is left that could serve requests.
    fn has_only_new(&self) -> bool {
        self.view.old_slots == 0 && self.view.new_slots > 0
    }

    /// Returns the version that the next request goes to.
    ///
    /// During the canary, a repeated request goes to the old version, so that no request runs at
    /// the new version twice.
    pub fn choose(&self, is_repeated: bool) -> Cohort {
        if self.is_promoted() {
            return Cohort::New;
        }
        let has_share = f64::from(self.new_sent) + 1.0 <= self.canary_share() * self.sent as f64;
        if self.allows_new() && has_share && !is_repeated { Cohort::New } else { Cohort::Old }
    }

    /// Records that a request was granted an endpoint of the new version. It counts even if it is
    /// not sent, as this is not known for certain in time.
    pub fn record_grant(&mut self, cohort: Cohort) {
        if cohort == Cohort::New {
            self.new_sent += 1;
        }
    }

    /// Records that a request is sent to an endpoint of either version.
    pub fn record_sent(&mut self) {
        self.sent += 1;
    }

    /// Counts a response to a request of this instance.
    pub fn record_response(&mut self, route: u32, cohort: Cohort, response: &Response) {
        self.own.record(route, cohort, response, &self.known);
        self.has_changed = true;
    }

    /// Records a heartbeat of another instance; `report` is what it says of this order, if it knows
    /// the order.
    pub fn hear(&mut self, from: Reporter, zone: u32, report: Option<&Report>, now: Millis) {
        let has_moved = report.is_some_and(|r| r.phase != Phase::Canary && r.old_in_flight == 0);
        self.peers.insert(from.instance, Peer { zone, heard_at: now, has_moved });
        let Some(report) = report else { return };
        self.written_at = self.written_at.min(now - f64::from(report.age_ms));
        if self.counted.len() < MAX_REPORTERS || self.counted.contains_key(&from) {
            let counted = self.counted.entry(from).or_default();
            counted.new_sent = report.new_sent;
            if let Some(routes) = &report.routes {
                counted.routes.clone_from(routes);
                self.has_changed = true;
            }
        }
        self.is_bad |= report.is_bad;
        self.is_confirmed |= report.is_confirmed;
        self.advance_phase(report.phase, now);
    }

    /// Adopts a later phase that another instance or the store knows. The store decides between the
    /// final ones, of which it has only one.
    fn advance_phase(&mut self, phase: Phase, now: Millis) {
        if !self.phase.is_final() && phase > self.phase {
            self.phase = phase;
            if phase == Phase::Promoting {
                self.promoted_at = Some(now);
            }
        }
    }

    /// Adopts the phase that another instance knows. What the store has now is another matter, as it
    /// may have come back from an older copy.
    pub fn adopt_phase(&mut self, phase: Phase, now: Millis) {
        self.advance_phase(phase, now);
    }

    /// Records whether this instance decides for the fleet.
    pub fn set_controller(&mut self, is_controller: bool) {
        self.view.is_controller = is_controller;
    }

    /// Records the status that the store has for this order; `None` if it has none.
    pub fn record_stored(&mut self, status: Option<Status>, now: Millis) {
        self.stored = status;
        self.is_confirmed = true;
        match status {
            Some(Status::Completed) => self.advance_phase(Phase::Completed, now),
            Some(Status::Reverted) => self.advance_phase(Phase::Reverted, now),
            Some(Status::Serving) | None => {}
        }
    }

    /// Forgets which status the store has, because it came back from an older copy.
    pub fn forget_stored(&mut self) {
        self.stored = None;
    }

    /// Compares the versions, and promotes the new one if this instance is the controller and the
    /// version is good. Called several times a second.
    pub fn advance(&mut self, view: PoolView, now: Millis) {
        if self.advanced_at.is_some_and(|at| now - at > MAX_PAUSE_MS) {
            self.caught_up_at = now + CATCH_UP_MS;
        }
        self.advanced_at = Some(now);
        self.view = view;
        if self.phase.is_final() {
            return;
        }
        if self.has_changed && self.compared_at.is_none_or(|at| now - at >= COMPARE_INTERVAL_MS) {
            self.has_changed = false;
            self.compared_at = Some(now);
            self.compare(now);
        }
        if self.is_suspicious {
            self.last_suspicion_at = Some(now);
        }
        if self.phase == Phase::Canary && self.may_promote(now) {
            self.advance_phase(Phase::Promoting, now);
        }
    }

    /// Sums up the evidence of all instances and compares the versions.
    fn compare(&mut self, now: Millis) {
        self.known = self.own.clone();
        for counted in self.counted.values() {
            self.known.add(&counted.routes);
        }
        let new = self.known.total(Cohort::New);
        if new.responses > 0 {
            self.first_response_at.get_or_insert(now);
        }
        let assessment = self.known.assess();
        self.is_suspicious = assessment != Assessment::Clean;
        let Assessment::Bad(finding) = assessment else {
            self.candidate = None;
            return;
        };
        let is_confirmed = finding.is_certain
            || match self.candidate.filter(|(_, before)| finding.is_about_same_as(before)) {
                Some((at, _)) if now - at < CONFIRMATION_MS => return,
                Some((_, before)) => finding.is_confirmed_since(&before),
                None => false,
            };
        self.candidate = Some((now, finding));
        if is_confirmed && !std::mem::replace(&mut self.is_bad, true) {
            self.finding = Some(finding);
        }
    }

    /// Returns whether this instance decides for the fleet at present.
    fn decides(&self, now: Millis) -> bool {
        self.view.is_controller && now >= self.caught_up_at
    }

    fn may_promote(&self, now: Millis) -> bool {
        if self.is_bad || !self.decides(now) || self.view.new_slots == 0 || self.is_due(now) {
            return false;
        }
        if self.view.old_slots == 0 {
            return true;
        }
        if !self.hears_all_zones(now) {
            return false;
        }
        let duration = self.order.duration_ms as f64;
        let has_slots =
            f64::from(self.view.new_slots) >= MIN_SLOT_SHARE * f64::from(self.view.old_slots);
        let new = self.known.total(Cohort::New);
        let is_late = self.age_ms(now) >= LATE_SHARE * duration;
        let clean_since = self
            .first_response_at
            .map(|first| self.last_suspicion_at.map_or(first, |suspicion| suspicion.max(first)));
        let clean_ms = clean_since.map_or(0.0, |since| now - since);
        if new.compared >= MIN_RESPONSES && has_slots && clean_ms >= CLEAN_SHARE * duration {
            return true;
        }
        // With hardly any traffic there may be no response at all, but not if requests were sent.
        let counted = self.counted.values().map(|counted| counted.new_sent);
        let new_sent = counted.sum::<u32>() + self.new_sent;
        let is_clean = match clean_since {
            Some(_) => clean_ms >= LATE_CLEAN_SHARE * duration,
            None => true,
        };
        is_late && is_clean && new.responses * 2 >= new_sent
    }

    /// Returns whether an instance of each zone that was heard is still heard.
    fn hears_all_zones(&self, now: Millis) -> bool {
        let mut zones: FxHashMap<u32, Millis> = FxHashMap::default();
        for peer in self.peers.values() {
            let heard_at = zones.entry(peer.zone).or_insert(peer.heard_at);
            *heard_at = heard_at.max(peer.heard_at);
        }
        zones.values().all(|heard_at| now - heard_at < SILENCE_MS)
    }

    /// Returns whether no instance has a request at an old endpoint. Instances that are silent are
    /// gone, unless their whole zone is silent.
    fn has_moved(&self, now: Millis) -> bool {
        let mut live = self.peers.values().filter(|peer| now - peer.heard_at < SILENCE_MS);
        self.view.old_in_flight == 0 && self.hears_all_zones(now) && live.all(|peer| peer.has_moved)
    }

    /// Returns whether the promoted version has served enough requests under full load.
    fn is_observed(&self, now: Millis) -> bool {
        let duration = self.order.duration_ms as f64;
        let has_served_long =
            self.promoted_at.is_some_and(|at| now - at >= PROMOTED_SHARE * duration);
        let new = self.known.total(Cohort::New);
        has_served_long && new.responses >= MIN_RESPONSES && !self.is_suspicious
    }

    /// Returns whether the final status has to be written now to be in time.
    fn is_due(&self, now: Millis) -> bool {
        let duration = self.order.duration_ms as f64;
        let margin = FINAL_MARGIN_MS.min(MAX_FINAL_MARGIN_SHARE * duration);
        self.age_ms(now) >= duration - margin
    }

    /// Returns the status that this instance has to write, unless the store has it.
    pub fn due_status(&self, now: Millis) -> Option<Status> {
        if !self.decides(now) {
            return None;
        }
        let due = match self.phase {
            Phase::Completed => Some(Status::Completed),
            Phase::Reverted => Some(Status::Reverted),
            Phase::Canary | Phase::Promoting if self.is_bad => Some(Status::Reverted),
            // Once the order is completed, there is no way back.
            Phase::Promoting if self.is_due(now) && self.is_suspicious => Some(Status::Reverted),
            Phase::Promoting => {
                let is_over = self.is_due(now) || self.is_observed(now) && self.has_moved(now);
                is_over.then_some(Status::Completed)
            }
            Phase::Canary if self.is_due(now) => Some(Status::Reverted),
            Phase::Canary => (self.view.new_slots > 0).then_some(Status::Serving),
        };
        due.filter(|due| self.stored != Some(*due))
    }

    /// Returns what this instance tells the others, with or without its counted responses.
    pub fn report(&self, has_routes: bool, now: Millis) -> Report {
        Report {
            order: self.order.key(),
            age_ms: self.age_ms(now).max(0.0) as u32,
            phase: self.phase,
            is_bad: self.is_bad,
            old_in_flight: self.view.old_in_flight,
            new_sent: self.new_sent,
            is_confirmed: self.is_confirmed,
            routes: has_routes.then(|| self.own.routes().copied().collect()),
        }
    }
}
