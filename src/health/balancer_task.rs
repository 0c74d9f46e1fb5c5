//! Task that owns the balancer.

use std::{rc::Rc, time::Duration};

use local_sync::mpsc;

use crate::{
    clock::{BootTime, Clock},
    metrics::{Counter, Metrics},
    peer::PeerDirectory,
};

use super::{
    balancer_handle::PickReply, Balancer, BalancerHandle, BalancerMessage, Decision,
    FailureNotifier, FleetShare, LeavingNotice, Lender, LimitNews, PickError, PickedTarget,
    QueueCounts, ScheduleRequest, Scheduler, SuspicionEvent, Target, TargetId, TargetStatus,
    TokenKind,
};

/// Most daemons that are asked for a token for one request.
const MAX_LENDERS: usize = 2;
/// Generation of the directory from which it holds all members of the fleet; the first one holds those
/// of the own data centre only, which the daemon read when it joined.
const COMPLETE_GENERATION: u64 = 2;
/// Interval of the checks for overdue requests and expired deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

struct BalancerTask {
    scheduler: Scheduler<PickReply>,
    handle: BalancerHandle,
    metrics: Rc<Metrics>,
    suspicions: mpsc::unbounded::Tx<SuspicionEvent>,
    failure_notifier: Option<FailureNotifier>,
    directory: PeerDirectory,
    /// Generation of the directory by which the shares of cold targets were computed.
    shares_of: u64,
    ejections: u64,
    queue_counts: QueueCounts,
}

/// Dependencies of [`balancer_task`].
pub struct BalancerTaskParts {
    /// Sends to the receiver of the task.
    pub handle: BalancerHandle,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// Receives suspicions of targets.
    pub suspicions: mpsc::unbounded::Tx<SuspicionEvent>,
    /// Notifies the fleet; `None` if each daemon judges targets by itself.
    pub failure_notifier: Option<FailureNotifier>,
    /// The daemons of the fleet, which share the limits that targets name.
    pub directory: PeerDirectory,
}

/// Owns the balancer and the queues, and handles messages until all senders are dropped.
pub async fn balancer_task(
    balancer: Balancer,
    mut rx: mpsc::unbounded::Rx<BalancerMessage>,
    parts: BalancerTaskParts,
) {
    let BalancerTaskParts { handle, clock, .. } = parts;
    monoio::spawn(tick_task(handle.clone()));
    let mut task = BalancerTask {
        scheduler: Scheduler::new(balancer),
        handle,
        metrics: parts.metrics,
        suspicions: parts.suspicions,
        failure_notifier: parts.failure_notifier,
        directory: parts.directory,
        shares_of: 0,
        ejections: 0,
        queue_counts: QueueCounts::default(),
    };
    while let Some(msg) = rx.recv().await {
        task.handle_message(msg, clock.now());
        task.update_warmup_shares(clock.now());
        task.publish_changes();
    }
}

async fn tick_task(handle: BalancerHandle) {
    loop {
        monoio::time::sleep(TICK_INTERVAL).await;
        handle.send(BalancerMessage::Tick);
    }
}

impl BalancerTask {
    fn handle_message(&mut self, msg: BalancerMessage, now: BootTime) {
        let balancer = &mut self.scheduler.balancer;
        match msg {
            BalancerMessage::SetTargets(hosts) => balancer.set_targets(&hosts, now),
            BalancerMessage::SetEvacuations(evacuations) => {
                balancer.set_evacuations(&evacuations, now);
                log::info!(data_centres = evacuations.in_force.len(),
                    targets = balancer.evacuated_targets(); "evacuations applied");
            }
            BalancerMessage::SetWarmupTerms(terms) => balancer.set_warmup_terms(terms, now),
            BalancerMessage::RecordEntries(entries) => balancer.record_entries(&entries, now),
            BalancerMessage::Pick { id, req, reply } => {
                let decisions = self.scheduler.submit(id, req, reply, now);
                self.reply(decisions);
            }
            BalancerMessage::CancelPick { id, service } => {
                self.scheduler.cancel(&service, id, now);
            }
            BalancerMessage::FindLenders(req, reply) => {
                let _ = reply.send(self.find_lenders(&req, now));
            }
            BalancerMessage::PickGranted(id, reply) => {
                let res = balancer.start_granted(id, now).ok_or(PickError::NoTarget);
                self.reply([Decision { item: reply, res }]);
            }
            BalancerMessage::PickHedge {
                service,
                first,
                reply,
            } => {
                let choice = self.scheduler.pick_hedge(&service, first, now);
                let res = choice.ok_or(PickError::NoTarget);
                self.reply([Decision { item: reply, res }]);
            }
            BalancerMessage::LendToken {
                target,
                is_cold,
                reply,
            } => {
                let _ = reply.send(balancer.lend_token(&target, is_cold, now));
            }
            BalancerMessage::Release(id, attempt) => {
                let decisions = self.scheduler.release(id, attempt, now);
                self.reply(decisions);
            }
            BalancerMessage::Observe(id, attempt, obs) => balancer.observe(id, attempt, &obs, now),
            BalancerMessage::Report {
                id,
                report,
                is_answer,
            } => {
                balancer.apply_report(id, report, now);
                if let Some(pause) = report.pause {
                    self.apply_pause(id, pause, now);
                }
                if report.leaving {
                    self.apply_leaving(id);
                }
                if is_answer || report.limit_per_s.is_some() {
                    self.apply_named_limit(id, report.limit_per_s, now);
                }
            }
            BalancerMessage::PeerReportedLeaving(LeavingNotice { target, born }) => {
                if balancer.apply_leaving_news(&target, born) {
                    log::info!(target_name = target.as_str(), heard_here = false;
                        "target leaves");
                }
            }
            BalancerMessage::PeerReportedLimit { target, news } => {
                let share = self.fleet_share(&target);
                let balancer = &mut self.scheduler.balancer;
                if balancer.apply_limit_news(&target, news, share, now) {
                    log_limit(&target, news, share, false);
                }
            }
            BalancerMessage::TripBreaker(id) => balancer.trip_breaker(id, now),
            BalancerMessage::PeerReportedFailed(names) => balancer.trip_breakers(&names, now),
            BalancerMessage::PeerReportedRecovered(names) => balancer.close_breakers(&names, now),
            BalancerMessage::FleetAlarm(name) => balancer.apply_fleet_alarm(&name, now),
            BalancerMessage::TargetsToProbe(reply) => {
                let _ = reply.send(balancer.targets_to_probe(now));
            }
            BalancerMessage::ProbeResult {
                id,
                healthy,
                state,
                warmup_left,
            } => {
                balancer.record_probe(id, healthy, state, now);
                balancer.record_probe_warmup(id, warmup_left, now);
            }
            BalancerMessage::Tick => {
                let decisions = self.scheduler.tick(now);
                self.reply(decisions);
            }
            BalancerMessage::Status(reply) => {
                let _ = reply.send(target_statuses(balancer, now));
            }
        }
    }

    /// Returns a few daemons, drawn at random, that may have tokens of limited targets.
    fn find_lenders(&self, req: &ScheduleRequest, now: BootTime) -> Vec<Lender> {
        let balancer = &self.scheduler.balancer;
        let mut targets = balancer.borrowable_targets(&req.service, &req.avoid, now);
        fastrand::shuffle(&mut targets);
        targets.truncate(MAX_LENDERS);
        let peers = self.directory.peers();
        let own = self.directory.own_host();
        let hosts = || {
            let others = peers.iter().filter(|p| !p.leaving).map(|p| &*p.host);
            others.chain([own])
        };
        let all_hosts = || peers.iter().map(|p| &*p.host).chain([own]);
        let lender = |(target, kind): (&Target, TokenKind)| {
            let selected = match kind {
                TokenKind::Named(limit) => FleetShare::selected(hosts(), &target.name, limit),
                TokenKind::Warmup(count) => FleetShare::first(all_hosts(), &target.name, count),
            };
            let others: Vec<&str> = selected.into_iter().filter(|host| *host != own).collect();
            let host = others.get(fastrand::usize(0..others.len().max(1)))?;
            Some(Lender {
                id: target.id,
                target: target.name.clone(),
                host: Rc::from(*host),
                is_cold: matches!(kind, TokenKind::Warmup(_)),
            })
        };
        targets.into_iter().filter_map(lender).collect()
    }

    fn apply_pause(&mut self, id: TargetId, pause: Duration, now: BootTime) {
        let balancer = &mut self.scheduler.balancer;
        balancer.apply_pause(id, pause, now);
        self.metrics.count(Counter::TargetPauses);
        if let Some(target) = balancer.target(id) {
            log::info!(target_name = &*target.name, pause_ms = pause.as_millis() as u64;
                "target asked for a pause");
        }
    }

    /// Records that a target leaves for good, and tells the fleet.
    fn apply_leaving(&mut self, id: TargetId) {
        if !self.scheduler.balancer.apply_leaving(id) {
            return;
        }
        let Some(target) = self.scheduler.balancer.target(id) else {
            return;
        };
        log::info!(target_name = &*target.name, heard_here = true; "target leaves");
        if let Some(notifier) = &self.failure_notifier {
            notifier.notify_leaving(&target.name, target.born);
        }
    }

    /// Applies the limit that a target named in a response, or that it named none.
    fn apply_named_limit(&mut self, id: TargetId, limit_per_s: Option<f64>, now: BootTime) {
        let Some(target) = self.scheduler.balancer.target(id) else {
            return;
        };
        if limit_per_s.is_none() && target.throttle.limit_per_s(now).is_none() {
            return;
        }
        let name = target.name.clone();
        let share = self.fleet_share(&name);
        let balancer = &mut self.scheduler.balancer;
        let Some(news) = balancer.apply_named_limit(id, limit_per_s, share, now) else {
            return;
        };
        log_limit(&name, news, share, true);
        if let Some(notifier) = &self.failure_notifier {
            notifier.notify_limit(&name, news);
        }
    }

    /// Returns the place of this daemon among those of the fleet for a target.
    fn fleet_share(&self, target: &str) -> FleetShare {
        let peers = self.directory.peers();
        let others = peers.iter().filter(|p| !p.leaving).map(|p| &*p.host);
        FleetShare::new(self.directory.own_host(), others, target)
    }

    /// Sets this daemon's share of the limits of targets that became cold, and of all cold targets
    /// if the members of the fleet changed.
    fn update_warmup_shares(&mut self, now: BootTime) {
        let cold = self.scheduler.balancer.take_shares_needed();
        if !cold.is_empty() {
            self.metrics.add(Counter::TargetsCold, cold.len() as u64);
            log::info!(targets = cold.len(), first = &*cold[0].1; "targets count as cold");
        }
        let generation = self.directory.generation();
        let targets = if self.shares_of == generation {
            cold
        } else {
            self.shares_of = generation;
            self.scheduler.balancer.cold_targets(now)
        };
        for (id, name) in targets {
            let share = self.warmup_share(&name);
            self.scheduler.balancer.set_warmup_share(id, share, now);
        }
    }

    /// Returns the place of this daemon among all members for a cold target. Members that leave
    /// keep their place, as they may send until they exit.
    fn warmup_share(&self, target: &str) -> FleetShare {
        if self.directory.generation() < COMPLETE_GENERATION {
            return FleetShare::UNKNOWN;
        }
        let peers = self.directory.peers();
        let others = peers.iter().map(|p| &*p.host);
        FleetShare::new(self.directory.own_host(), others, target)
    }

    fn reply(&self, decisions: impl IntoIterator<Item = Decision<PickReply>>) {
        for Decision { item, res } in decisions {
            let _ = item.send(res.map(|choice| PickedTarget {
                id: choice.id,
                address: choice.address,
                name: choice.name,
                evacuated: choice.evacuated,
                send_by: choice.send_by,
                attempt: choice.attempt,
                handle: self.handle.clone(),
            }));
        }
    }

    /// Sends new suspicions and recoveries to their tasks, and updates the counters.
    fn publish_changes(&mut self) {
        for suspicion in self.scheduler.balancer.take_suspicions() {
            let _ = self.suspicions.send(SuspicionEvent::Local(suspicion));
        }
        for target in self.scheduler.balancer.take_recovered() {
            log::info!(target_name = &*target; "target recovered");
            if let Some(notifier) = &self.failure_notifier {
                notifier.notify_recovered(&target);
            }
        }
        while self.ejections < self.scheduler.balancer.ejections() {
            self.ejections += 1;
            self.metrics.count(Counter::Ejections);
        }
        let (old, new) = (self.queue_counts, self.scheduler.counts());
        self.queue_counts = new;
        let gains = [
            (Counter::Queued, new.queued - old.queued),
            (Counter::QueueShed, new.shed - old.shed),
            (Counter::QueueHopeless, new.hopeless - old.hopeless),
            (Counter::QueueExpired, new.expired - old.expired),
            (Counter::QueueAbandoned, new.abandoned - old.abandoned),
            (Counter::QueueOutOfTurn, new.out_of_turn - old.out_of_turn),
            (
                Counter::QueueResentEarly,
                new.resent_early - old.resent_early,
            ),
        ];
        for (counter, n) in gains {
            self.metrics.add(counter, n);
        }
    }
}

fn log_limit(target: &str, news: LimitNews, share: FleetShare, heard_here: bool) {
    match news {
        LimitNews::Named(limit) => {
            let part = share.rate_per_s(limit);
            log::info!(target_name = target, limit_per_s = limit, part_per_s:? = part,
                daemons = share.daemons, heard_here = heard_here; "target limits requests");
        }
        LimitNews::Lifted => {
            log::info!(target_name = target, heard_here = heard_here; "target lifted its limit");
        }
    }
}

fn target_statuses(balancer: &Balancer, now: BootTime) -> Vec<TargetStatus> {
    let targets = balancer.targets(now);
    let status = targets.map(|(t, suspicion)| TargetStatus {
        name: t.name.to_string(),
        leaving: t.is_leaving(),
        in_flight: t.in_flight.len() as u32,
        suspicion,
    });
    status.collect()
}
