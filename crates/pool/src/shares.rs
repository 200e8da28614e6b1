//! Max-min fair shares of a pool's capacity, as one token bucket for each class of jobs.
//!
//! Shares are needed under contention. Admission in order of arrival gives a class that requests five times as much
//! work five times as much capacity, and the refusals fall on whoever asks at that time. It also favours narrow jobs,
//! which fit wherever a single task has ended, over wide jobs of the same route.
//!
//! A class that requests less than its share gets all it requests, and the rest is divided among the others. Shares are
//! in proportion to what the classes requested while there was capacity for all, and equal as long as that is not
//! known: with equal shares alone, a general overload would fall on the classes that always request the most.

use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{DataCentreId, FastMap};

use crate::arrivals::{ArrivalMean, ArrivedJob, ExpectedJob};

/// The time constant of the rates at which work is requested and admitted.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// How long more work must be requested than the pool can do until classes are limited. Shorter bursts are absorbed by
/// the queue.
const CONTENTION_DELAY: Duration = Duration::from_millis(300);

/// The maximum time between two requests over which rates and buckets are continued. A longer time may be a pause of
/// this process, in which requests were not seen.
const MAX_GAP: Duration = Duration::from_secs(1);

/// The maximum unused share that a class keeps, as a time at the rate of its share.
const BUCKET_TIME: Duration = Duration::from_millis(500);

/// The time constant over which the usual requests of a class are learned: some waves of demand, which take 11 s to
/// 13 s.
const USUAL_WINDOW: Duration = Duration::from_secs(30);

/// For how long an equal share counts in the usual requests of a class. It gives a class without history a share.
const EQUAL_PRIOR: Duration = Duration::from_secs(4);

/// The maximum number of classes: 3 routes, 12 data centres and 2 widths are 72.
const MAX_CLASSES: usize = 128;

/// The time after which a class without requests is dropped.
const CLASS_LIFETIME: Duration = Duration::from_secs(60);

/// The maximum number of classes for whose jobs capacity is kept free. Each costs a simulation.
const MAX_OWED: usize = 3;

/// The share of refusals up to which no capacity is kept free for a class.
const TOLERATED_REFUSED_SHARE: f64 = 0.02;

/// The share of refusals from which capacity is kept free for a whole job of a class.
const FULL_RESERVE_REFUSED_SHARE: f64 = 0.1;

/// The width for which capacity is kept free, as a multiple of the class's mean: half of the jobs are wider than that.
const OWED_WIDTH: f64 = 1.2;

/// The part of the capacity that is divided into shares. Classes whose jobs fit easily use all of their shares, and
/// the part that cannot be used would otherwise be missing only from the shares of the others.
const USABLE_SHARE: f64 = 0.85;

/// The weight of a new job in the mean width of its route.
const WIDTH_WEIGHT: f64 = 0.05;

/// A class of jobs that have one share.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ClassKey {
    pub(crate) route: Arc<str>,
    /// The data centre whose entry sent the job. None is the owner's own.
    pub(crate) origin: Option<DataCentreId>,
    /// Whether the job has more tasks than the mean of its route.
    pub(crate) wide: bool,
}

impl fmt::Display for ClassKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let origin = self.origin.as_ref().map_or("own", DataCentreId::as_str);
        let width = if self.wide { "wide" } else { "narrow" };
        write!(f, "{}/{origin}/{width}", self.route)
    }
}

/// The share of a job's class when the job was admitted or refused.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareUse {
    /// The class: route, data centre and width.
    pub class: String,
    /// The share, in core-milliseconds per second.
    pub share: f64,
    /// The work of the class that was admitted lately, in core-milliseconds per second.
    pub used: f64,
}

/// How the work of a job counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShareOutcome {
    /// The job was admitted.
    Admitted,
    /// A part of a divided job was admitted. Its width says nothing about its route.
    PartAdmitted,
    /// The job was refused for lack of capacity.
    NoCapacity,
    /// The job was refused because its class had used its share.
    OverShare,
}

/// The state of a class. Work is in core-milliseconds, rates in core-milliseconds per second.
#[derive(Clone, Debug)]
struct ClassState {
    last: Instant,
    /// The rate of requested work, refused work included.
    requested: f64,
    /// The rate of admitted work.
    used: f64,
    /// What is left of the share. Negative if the class is in debt.
    balance: f64,
    /// The work requested while there was capacity for all, with exponentially decaying weight.
    usual_work: f64,
    /// The seconds in which `usual_work` was requested, with the same weight.
    usual_time: f64,
    /// Shapes of the jobs and the share that was refused for lack of capacity.
    jobs: Option<ArrivalMean>,
}

impl ClassState {
    fn new(now: Instant) -> Self {
        Self {
            last: now,
            requested: 0.0,
            used: 0.0,
            balance: 0.0,
            usual_work: 0.0,
            usual_time: 0.0,
            jobs: None,
        }
    }

    /// The class's weight: its usual rate of requests, or `equal` as long as that is not known.
    fn weight(&self, equal: f64) -> f64 {
        let prior = EQUAL_PRIOR.as_secs_f64();
        (self.usual_work + prior * equal) / (self.usual_time + prior)
    }
}

/// The shares of all classes of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassShares {
    classes: FastMap<ClassKey, ClassState>,
    /// The mean number of tasks of a job, by route.
    widths: FastMap<Arc<str>, f64>,
    updated: Option<Instant>,
    /// Whether more work is requested than the pool can do.
    contended: bool,
    /// Since when the requests have said otherwise.
    changing_since: Option<Instant>,
    /// An equal share of the capacity, in core-milliseconds per second.
    equal: f64,
    /// The share of a class divided by its weight.
    level: f64,
}

impl ClassShares {
    /// The class of a job. Parts of divided jobs belong to the wide jobs of their route.
    pub(crate) fn class_of(
        &self,
        route: &Arc<str>,
        origin: Option<&DataCentreId>,
        tasks: u64,
        firm: bool,
    ) -> ClassKey {
        let mean = self.widths.get(route).copied();
        ClassKey {
            route: route.clone(),
            origin: origin.cloned(),
            wide: firm || mean.is_some_and(|mean| tasks as f64 > mean),
        }
    }

    /// Brings rates, buckets and shares up to date. `capacity` is the work that the pool can do, in core-milliseconds
    /// per second.
    pub(crate) fn advance(&mut self, now: Instant, capacity: f64) {
        let passed = self.updated.map_or(Duration::ZERO, |updated| {
            now.saturating_duration_since(updated)
        });
        self.updated = Some(now);
        if passed > MAX_GAP {
            self.discard_rates();
        } else {
            self.continue_rates(passed);
        }
        self.drop_idle(now);
        self.update_level(now, capacity);
    }

    /// Forgets the rates after a time in which requests may not have been seen. Buckets stay as they were.
    fn discard_rates(&mut self) {
        self.contended = false;
        self.changing_since = None;
        for class in self.classes.values_mut() {
            (class.requested, class.used, class.jobs) = (0.0, 0.0, None);
        }
    }

    fn continue_rates(&mut self, passed: Duration) {
        let seconds = passed.as_secs_f64();
        let decay = (-seconds / RATE_WINDOW.as_secs_f64()).exp();
        let usual_decay = (-seconds / USUAL_WINDOW.as_secs_f64()).exp();
        for class in self.classes.values_mut() {
            let rate = class.weight(self.equal) * self.level;
            let limit = rate * BUCKET_TIME.as_secs_f64();
            class.balance = (class.balance + rate * seconds).min(limit);
            class.requested *= decay;
            class.used *= decay;
            if !self.contended {
                class.usual_work *= usual_decay;
                class.usual_time = class.usual_time * usual_decay + seconds;
            }
        }
    }

    fn drop_idle(&mut self, now: Instant) {
        self.classes
            .retain(|_, class| now < class.last + CLASS_LIFETIME);
        if self.classes.len() < MAX_CLASSES {
            return;
        }
        let least = self.classes.iter();
        let least = least.min_by(|(_, a), (_, b)| a.requested.total_cmp(&b.requested));
        if let Some(key) = least.map(|(key, _)| key.clone()) {
            self.classes.remove(&key);
        }
        let classes = &self.classes;
        self.widths
            .retain(|route, _| classes.keys().any(|key| key.route == *route));
    }

    fn update_level(&mut self, now: Instant, capacity: f64) {
        self.equal = capacity / self.classes.len().max(1) as f64;
        let classes = self.classes.values();
        let demands: Vec<ClassDemand> = classes
            .map(|class| ClassDemand {
                requested: class.requested,
                weight: class.weight(self.equal).max(f64::MIN_POSITIVE),
            })
            .collect();
        let total: f64 = demands.iter().map(|demand| demand.requested).sum();
        self.level = fair_level(demands, capacity * USABLE_SHARE);
        if (total > capacity) == self.contended {
            self.changing_since = None;
        } else if now >= *self.changing_since.get_or_insert(now) + CONTENTION_DELAY {
            self.contended = !self.contended;
            self.changing_since = None;
        }
    }

    /// Whether a class has used its share while there is contention.
    pub(crate) fn is_over(&self, key: &ClassKey) -> bool {
        let class = self.classes.get(key);
        self.contended && class.is_some_and(|class| class.balance <= 0.0)
    }

    /// The expected jobs of the classes that have not used their shares and are refused the most for lack of capacity.
    pub(crate) fn owed(&self, now: Instant) -> Vec<ExpectedJob> {
        let mut owed: Vec<(f64, &ArrivalMean)> = Vec::new();
        for class in self.classes.values() {
            let Some(jobs) = class.jobs.as_ref().filter(|_| class.balance > 0.0) else {
                continue;
            };
            owed.push((jobs.refused_share_at(now), jobs));
        }
        owed.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        let (tolerated, full) = (TOLERATED_REFUSED_SHARE, FULL_RESERVE_REFUSED_SHARE);
        let expected = owed
            .iter()
            .map(|(_, jobs)| jobs.expected(now, tolerated, full));
        let wider = expected.map(|job| ExpectedJob {
            tasks: (job.tasks as f64 * OWED_WIDTH).round() as usize,
            ..job
        });
        wider.filter(|job| job.tasks > 0).take(MAX_OWED).collect()
    }

    /// Records a job that was admitted or refused, and its work in core-milliseconds.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        key: &ClassKey,
        work: f64,
        job: &ArrivedJob,
        outcome: ShareOutcome,
    ) {
        let class = self
            .classes
            .entry(key.clone())
            .or_insert_with(|| ClassState::new(now));
        class.last = now;
        class.requested += work / RATE_WINDOW.as_secs_f64();
        if !self.contended {
            class.usual_work += work;
        }
        if matches!(outcome, ShareOutcome::Admitted | ShareOutcome::PartAdmitted) {
            class.used += work / RATE_WINDOW.as_secs_f64();
            class.balance = (class.balance - work).max(-work);
        }
        if outcome != ShareOutcome::PartAdmitted {
            let tasks = f64::from(job.tasks);
            let width = self.widths.entry(key.route.clone()).or_insert(tasks);
            *width += WIDTH_WEIGHT * (tasks - *width);
        }
        if matches!(outcome, ShareOutcome::Admitted | ShareOutcome::NoCapacity) {
            let jobs = class.jobs.get_or_insert_with(|| ArrivalMean::new(now, job));
            jobs.record(now, job);
        }
    }

    /// The share of a class and what it has used of it lately.
    pub(crate) fn usage(&self, key: &ClassKey) -> ShareUse {
        let class = self.classes.get(key);
        ShareUse {
            class: key.to_string(),
            share: class.map_or(self.equal, |class| class.weight(self.equal) * self.level),
            used: class.map_or(0.0, |class| class.used),
        }
    }
}

/// What a class requests, and its weight.
#[derive(Clone, Copy, Debug)]
struct ClassDemand {
    requested: f64,
    weight: f64,
}

/// The max-min fair share of a weight of one: the classes that request less get what they request, and the capacity that
/// is left is divided among the others by weight.
fn fair_level(mut demands: Vec<ClassDemand>, capacity: f64) -> f64 {
    let ratio = |demand: &ClassDemand| demand.requested / demand.weight;
    demands.sort_by(|a, b| ratio(a).total_cmp(&ratio(b)));
    let total: f64 = demands.iter().map(|demand| demand.weight).sum();
    let (mut left, mut weights) = (capacity, total);
    for demand in &demands {
        if ratio(demand) * weights >= left {
            return left / weights;
        }
        left -= demand.requested;
        weights -= demand.weight;
    }
    capacity / total.max(f64::MIN_POSITIVE)
}
