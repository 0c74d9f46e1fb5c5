//! Sites, faults and policies of the measurements of module `gray`.

use chervillug::health::{
    ConsecutiveFailureDetector, Detector, ProbeOnlyDetector, Profile, SequentialDetector,
};

/// The size of one service of a site.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Site {
    /// Name in figures.
    pub(crate) name: &'static str,
    /// Count of daemons.
    pub(crate) daemons: usize,
    /// Count of targets of the service.
    pub(crate) targets: usize,
    /// Slots of each target.
    pub(crate) slots: u32,
    /// The site's own profile.
    pub(crate) profile: Profile,
}

/// The largest service of each site.
pub(crate) const SITES: [Site; 2] = [
    Site {
        name: "brereton",
        daemons: 48,
        targets: 20,
        slots: 2,
        profile: Profile::FewFalseEjections,
    },
    Site {
        name: "mitumba",
        daemons: 36,
        targets: 15,
        slots: 4,
        profile: Profile::FastDetection,
    },
];

/// What goes wrong from the onset on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// The first target fails this share of its work.
    Errors(f64),
    /// The first target takes this many times longer.
    Slow(f64),
    /// The first target answers nothing.
    Silent,
    /// The first target fails all work in every second period of this length, s.
    Flap(f64),
    /// All targets take this many times longer for 5 s of each 60 s.
    ServiceSlow(f64),
    /// One daemon loses this share of its requests for 5 s of each 60 s.
    BadLink(f64),
    /// The load doubles for 5 s of each 60 s.
    Peaks,
}

impl Fault {
    /// Returns the name in figures.
    pub(crate) fn name(self) -> String {
        match self {
            Self::None => "healthy_noise".into(),
            Self::Errors(share) => format!("errors_{}", (share * 100.0) as u32),
            Self::Slow(factor) => format!("slow_{factor}x"),
            Self::Silent => "silent".into(),
            Self::Flap(_) => "flap".into(),
            Self::ServiceSlow(_) => "service_slow".into(),
            Self::BadLink(_) => "bad_link".into(),
            Self::Peaks => "load_peaks".into(),
        }
    }
}

/// Who judges targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Policy {
    /// The sequential detector.
    Sequential(Profile),
    /// Failures in a row.
    Consecutive,
    /// Probes only.
    Probe,
    /// The faulty target leaves the list at the onset.
    Informed,
}

impl Policy {
    /// Returns the name in figures.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Sequential(_) => "sequential",
            Self::Consecutive => "consecutive",
            Self::Probe => "probe",
            Self::Informed => "informed",
        }
    }

    /// Returns the profile in figures.
    pub(crate) fn profile(self) -> &'static str {
        match self {
            Self::Sequential(Profile::FewFalseEjections) => "few_false_ejections",
            Self::Sequential(Profile::FastDetection) => "fast_detection",
            _ => "none",
        }
    }

    /// Makes the detector of one daemon.
    pub(crate) fn detector(self) -> Box<dyn Detector> {
        match self {
            Self::Sequential(profile) => Box::new(SequentialDetector::new(profile.options())),
            Self::Probe => Box::<ProbeOnlyDetector>::default(),
            Self::Consecutive | Self::Informed => Box::<ConsecutiveFailureDetector>::default(),
        }
    }
}

/// One run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    /// Size of the service.
    pub(crate) site: Site,
    /// Who judges targets.
    pub(crate) policy: Policy,
    /// What goes wrong.
    pub(crate) fault: Fault,
    /// Sum of the plans' rates, as a share of the slots.
    pub(crate) load: f64,
    /// Multiple of its plan that the first workspace asks; the others ask 90% of theirs.
    pub(crate) neighbour: f64,
    /// When the fault begins, s.
    pub(crate) onset_s: f64,
    /// When the run ends, s.
    pub(crate) end_s: f64,
    /// Whether the run ends when all daemons have stopped sending to the faulty target.
    pub(crate) until_detected: bool,
    /// Seed of all random choices.
    pub(crate) seed: u64,
}

/// What one run showed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    /// Time from the onset to the last daemon's stop, s.
    pub(crate) detect_s: Option<f64>,
    /// Requests admitted after the onset.
    pub(crate) admitted: u64,
    /// Those with a good answer in time.
    pub(crate) good: u64,
    /// Those refused because all targets were busy.
    pub(crate) refused: u64,
    /// Ejections and trials at all daemons.
    pub(crate) ejections: u64,
    /// Routing sets below the floor.
    pub(crate) floor_violations: u64,
    /// Least share of good answers among workspaces within their plans.
    pub(crate) worst_workspace: f64,
    /// Messages about suspicions per daemon and second.
    pub(crate) messages_per_s: f64,
    /// Simulated time, s.
    pub(crate) simulated_s: f64,
}
