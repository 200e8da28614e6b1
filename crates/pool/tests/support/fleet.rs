//! Several pools in several data centres, and entries that choose among them by what owners have published.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fastrand::Rng;
use jobs::{
    CpuMillis, JobId, JobOutcome, JobRequest, JobTerms, MemoryMegabytes, ResourceDemand, ServiceId,
    StepSpec,
};
use model::PlacementPolicy;
use pool::{
    choose_pool, divide_step, order_offers, order_pools, select_offer_pools, OfferLimits,
    PlacementDemand, PlacementOption, PoolCandidate, PublishedProfile, WaiterId,
};

use super::{OpenJob, Simulation, KINDS, SERVICE};

/// Workers in a pool.
const POOL_WORKERS: usize = 16;

/// Entries in a data centre.
const ENTRIES: usize = 4;

/// The rate of jobs per pool relative to `KINDS`, at which two thirds of the workers are busy.
const USUAL_RATE: f64 = 0.95;

/// The intervals of heartbeats within a data centre and between two, in milliseconds.
const HEARTBEAT_MS: [u64; 2] = [100, 500];

/// The time from a request for offers to the sending of the job, in milliseconds.
const OFFER_ROUND_MS: u64 = 3;

const OFFER_LIMITS: OfferLimits = OfferLimits {
    max_pools: 6,
    enough_factor: None,
};

struct FleetJob {
    kind: usize,
    centre: usize,
    entry: usize,
    arrived: u64,
    works: Vec<f64>,
    request: JobRequest,
    objective: f64,
    /// The pools that have a part of the job.
    pools: Vec<usize>,
}

/// What an entry does once the offers for a job have arrived.
struct OfferRound {
    due: u64,
    job: usize,
    offers: Vec<(usize, u32)>,
    /// Pools that are asked in a second round.
    next_pools: Vec<usize>,
}

/// Pools, the entries of their data centres, and the traffic.
pub(crate) struct Fleet {
    policy: PlacementPolicy,
    pools_per_centre: usize,
    pools: Vec<Simulation>,
    /// The last heartbeat of each pool that is known within its data centre and elsewhere, and when it was sent.
    published: [Vec<(PlacementOption, u64)>; 2],
    /// The CPU demand that each entry sent to a pool since the heartbeat that was sent at this time.
    sent: BTreeMap<(usize, usize), (u64, u64)>,
    jobs: Vec<FleetJob>,
    rounds: Vec<OfferRound>,
    rng: Rng,
    now: u64,
}

impl Fleet {
    pub(crate) fn new(seed: u64, centres: usize, pools: usize, policy: PlacementPolicy) -> Self {
        let count = centres * pools;
        let pool = |number| Simulation::new(seed * 1_000 + number as u64, POOL_WORKERS);
        Self {
            policy,
            pools_per_centre: pools,
            pools: (0..count).map(pool).collect(),
            published: [(); 2].map(|()| vec![(PlacementOption::default(), 0); count]),
            sent: BTreeMap::new(),
            jobs: Vec::new(),
            rounds: Vec::new(),
            rng: Rng::with_seed(seed),
            now: 0,
        }
    }

    /// Generates traffic; `factors` are the rates of the data centres relative to the usual one.
    pub(crate) fn run(&mut self, millis: u64, factors: &[f64]) {
        for _ in 0..millis {
            self.publish();
            for (centre, factor) in factors.iter().enumerate() {
                for (kind, job_kind) in KINDS.iter().enumerate() {
                    let rate = job_kind.per_second * USUAL_RATE * self.pools_per_centre as f64;
                    if self.rng.f64() < rate * factor / 1000.0 {
                        self.arrive(centre, kind);
                    }
                }
            }
            let (due, later) = std::mem::take(&mut self.rounds)
                .into_iter()
                .partition(|round| round.due <= self.now);
            self.rounds = later;
            for round in due {
                self.use_offers(round);
            }
            for pool in &mut self.pools {
                pool.run_for(1);
            }
            self.now += 1;
        }
    }

    fn publish(&mut self) {
        for (known, interval) in self.published.iter_mut().zip(HEARTBEAT_MS) {
            for (number, pool) in self.pools.iter().enumerate() {
                // The owners' heartbeats are not in step.
                if !(self.now + 37 * number as u64).is_multiple_of(interval) && self.now > 0 {
                    continue;
                }
                let at = pool.instant();
                let option = PlacementOption {
                    candidate: PoolCandidate {
                        load: pool.pool.load(at),
                        ..PoolCandidate::default()
                    },
                    profile: PublishedProfile::from(pool.pool.start_profile(at)).known(),
                    age: Duration::ZERO,
                };
                known[number] = (option, self.now);
            }
        }
    }

    /// The pools as an entry knows them.
    fn options(&self, job: &FleetJob) -> Vec<PlacementOption> {
        let options = (0..self.pools.len()).map(|number| {
            let is_local = number / self.pools_per_centre == job.centre;
            let (mut option, heard) = self.published[usize::from(!is_local)][number];
            option.candidate.same_data_centre = is_local;
            option.age = Duration::from_millis(self.now - heard);
            let sent = self.sent.get(&(job.entry, number));
            let sent = sent.filter(|(since, _)| *since == heard);
            option.candidate.sent_cpu = sent.map_or(0, |(_, cpu)| *cpu);
            option
        });
        options.collect()
    }

    fn arrive(&mut self, centre: usize, kind: usize) {
        let job_kind = KINDS[kind];
        let rng = &mut self.rng;
        let mut spread = |by: f64| 1.0 + (rng.f64() * 2.0 - 1.0) * by;
        let count = (job_kind.tasks * spread(0.4)).round().max(1.0) as u32;
        let work = job_kind.work_ms * spread(0.5);
        let works: Vec<f64> = (0..count).map(|_| work * spread(0.15)).collect();
        let step = StepSpec {
            count,
            demand: ResourceDemand {
                cpu: CpuMillis((6_800.0 * spread(0.2)) as u64),
                memory: MemoryMegabytes(64),
                accelerators: 0,
            },
            estimate: Duration::from_secs_f64(work * spread(0.4) / 1000.0),
            ..StepSpec::default()
        };
        let longest = works.iter().copied().fold(0.0, f64::max);
        self.jobs.push(FleetJob {
            kind,
            centre,
            entry: centre * ENTRIES + self.rng.usize(..ENTRIES),
            arrived: self.now,
            objective: 1.6 * longest + 60.0,
            works,
            request: JobRequest {
                id: JobId(self.rng.u64(..)),
                text: Arc::from("text"),
                steps: vec![step],
                kept: false,
                unsupported: None,
            },
            pools: Vec::new(),
        });
        self.place(self.jobs.len() - 1);
    }

    fn place(&mut self, job: usize) {
        let options = self.options(&self.jobs[job]);
        let terms = self.terms(&self.jobs[job], false);
        let request = &self.jobs[job].request;
        let (goal, stretch) = (terms.goal, terms.stretch);
        let demand = PlacementDemand::new(request, stretch, goal, terms.waited);
        match self.policy {
            PlacementPolicy::FreeCapacity => {
                let candidates: Vec<_> = options.iter().map(|option| option.candidate).collect();
                let order = order_pools(&candidates, demand.cpu, &mut self.rng);
                let Err(fits) = self.submit(job, order[0], None) else {
                    return;
                };
                let asked = order[1..].iter().copied().take(OFFER_LIMITS.max_pools);
                let (local, remote) =
                    asked.partition(|pool| options[*pool].candidate.same_data_centre);
                self.ask_offers(job, vec![(order[0], fits)], local, remote);
            }
            PlacementPolicy::ExpectedEnd => {
                let mut offers = Vec::new();
                if let Some(pool) = choose_pool(&options, &demand, &mut self.rng) {
                    match self.submit(job, pool, None) {
                        Ok(()) => return,
                        Err(fits) => offers.push((pool, fits)),
                    }
                }
                let refused = offers.first().map(|(pool, _)| *pool);
                let others: Vec<usize> = (0..options.len())
                    .filter(|pool| Some(*pool) != refused)
                    .collect();
                let of_others: Vec<_> = others.iter().map(|pool| options[*pool]).collect();
                let chosen = select_offer_pools(&of_others, &demand, OFFER_LIMITS, &mut self.rng);
                let asked = chosen.into_iter().map(|index| others[index]).collect();
                self.ask_offers(job, offers, asked, Vec::new());
            }
        }
    }

    fn ask_offers(
        &mut self,
        job: usize,
        mut offers: Vec<(usize, u32)>,
        pools: Vec<usize>,
        next_pools: Vec<usize>,
    ) {
        for number in pools {
            let (at, terms) = (
                self.pools[number].instant(),
                self.terms(&self.jobs[job], false),
            );
            let request = &self.jobs[job].request;
            let fits = self.pools[number].pool.offer(at, request, &terms);
            offers.push((number, fits));
        }
        let due = self.now + OFFER_ROUND_MS;
        self.rounds.push(OfferRound {
            due,
            job,
            offers,
            next_pools,
        });
    }

    /// Sends the job to a pool that offered the whole of it, or divides it among all that offered a part.
    fn use_offers(&mut self, round: OfferRound) {
        let OfferRound {
            job,
            mut offers,
            next_pools,
            ..
        } = round;
        let centre = self.jobs[job].centre;
        if self.policy == PlacementPolicy::ExpectedEnd {
            let is_local = |pool: usize| pool / self.pools_per_centre == centre;
            let keys: Vec<_> = offers
                .iter()
                .map(|(p, fits)| (is_local(*p), *fits))
                .collect();
            let order = order_offers(&keys);
            offers = order.into_iter().map(|index| offers[index]).collect();
        }
        let step = self.jobs[job].request.steps[0].clone();
        let whole = offers.iter().find(|(_, fits)| *fits >= step.count).copied();
        if let Some((pool, _)) = whole {
            if self.submit(job, pool, None).is_ok() {
                return;
            }
        }
        let fits: Vec<u32> = offers.iter().map(|(_, fits)| *fits).collect();
        let Some(parts) = divide_step(&step, &fits) else {
            if !next_pools.is_empty() {
                self.ask_offers(job, offers, next_pools, Vec::new());
            }
            return;
        };
        for ((pool, _), part) in offers.into_iter().zip(parts) {
            if let Some(part) = part {
                let _refused = self.submit(job, pool, Some(part));
            }
        }
    }

    fn terms(&self, job: &FleetJob, firm: bool) -> JobTerms {
        JobTerms {
            service: ServiceId::from(SERVICE),
            route: Arc::from(KINDS[job.kind].name),
            priority: KINDS[job.kind].priority,
            attempts: 3,
            stretch: 1.6,
            goal: Duration::from_millis(60),
            time_left: Duration::from_secs_f64((1_500.0 + job.objective) / 1000.0),
            waited: Duration::from_millis(self.now - job.arrived + 4),
            firm,
            origin: None,
            retry_in: None,
            attempt_id: None,
        }
    }

    /// Submits a job, or a part of it, to a pool. If the pool refuses it, the error is how many tasks would fit.
    fn submit(&mut self, job: usize, number: usize, part: Option<StepSpec>) -> Result<(), u32> {
        let firm = part.is_some();
        let is_local = number / self.pools_per_centre == self.jobs[job].centre;
        let heard = self.published[usize::from(!is_local)][number].1;
        let terms = self.terms(&self.jobs[job], firm);
        let tracked = &mut self.jobs[job];
        let mut request = tracked.request.clone();
        request.steps.extend(part);
        let step = request.steps.split_off(request.steps.len() - 1).remove(0);
        let cpu = step.demand.cpu.0 * u64::from(step.count);
        request.steps = vec![step];
        let sent = self
            .sent
            .entry((tracked.entry, number))
            .or_insert((heard, 0));
        if sent.0 != heard {
            *sent = (heard, 0);
        }
        sent.1 += cpu;
        let pool = &mut self.pools[number];
        let id = request.id;
        // All tasks are known by their indices, which a part of the job keeps.
        let works = vec![tracked.works.clone()];
        pool.known
            .insert(id, (works.clone(), request.steps[0].demand.cpu.0));
        pool.open.insert(
            id,
            OpenJob {
                kind: tracked.kind,
                arrived: pool.now,
                objective: tracked.objective,
                steps: works,
                cpu: request.steps[0].demand.cpu.0,
            },
        );
        let at = pool.instant();
        pool.pool
            .submit(at, WaiterId(id.0), Arc::new(request), terms);
        pool.execute_actions();
        let last = pool.results.last().filter(|result| result.id == id);
        match last.map(|result| result.outcome) {
            Some(JobOutcome::Refused { fits, .. }) => {
                pool.results.pop();
                Err(fits)
            }
            _ => {
                tracked.pools.push(number);
                Ok(())
            }
        }
    }

    /// The share of the jobs that ended in time among those of a data centre that arrived from `since` on.
    pub(crate) fn in_time(&self, centre: usize, since: u64) -> f64 {
        let arrived = self.jobs.iter();
        let arrived = arrived.filter(|job| job.centre == centre && job.arrived >= since);
        let (mut all, mut in_time) = (0.0, 0.0);
        for job in arrived {
            all += 1.0;
            in_time += f64::from(u8::from(self.is_in_time(job)));
        }
        in_time / f64::max(all, 1.0)
    }

    fn is_in_time(&self, job: &FleetJob) -> bool {
        let offset = self.pools[0].now - self.now;
        let ended_in_time = |number: &usize| {
            let results = self.pools[*number].results.iter();
            let result = results.rev().find(|result| result.id == job.request.id);
            result.is_some_and(|result| {
                let took = (result.ended - offset - job.arrived) as f64;
                result.outcome == JobOutcome::Completed && took <= job.objective
            })
        };
        !job.pools.is_empty() && job.pools.iter().all(ended_in_time)
    }
}
