//! Sites, faults and policies of the `gray` measurements.

use chervillug::health::{
    ConsecutiveFailureDetector, Detector, ProbeOnlyDetector, Profile, SequentialDetector,
};

/// Size of one service of a site.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Site {
    /// Name in the reported figures.
    pub(crate) name: &'static str,
    /// Number of daemons.
    pub(crate) daemons: usize,
    /// Number of targets of the service.
    pub(crate) targets: usize,
    /// Slots of each target.
    pub(crate) slots: u32,
    /// Detector profile of the site.
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

/// Fault that starts at the onset.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    /// No fault.
    None,
    /// The first target fails this share of its requests.
    Errors(f64),
    /// The latency of the first target is multiplied by this factor.
    Slow(f64),
    /// The first target does not respond.
    Silent,
    /// The first target fails all requests in every second period of this length, in seconds.
    Flap(f64),
    /// The latency of all targets is multiplied by this factor for 5 s of each 60 s.
    ServiceSlow(f64),
    /// One daemon loses this share of its requests for 5 s of each 60 s.
    BadLink(f64),
    /// The load doubles for 5 s of each 60 s.
    Peaks,
}

impl Fault {
    /// Returns the name in the reported figures.
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

/// How faulty targets are detected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Policy {
    /// The sequential detector.
    Sequential(Profile),
    /// The detector of consecutive failures.
    Consecutive,
    /// The detector that uses probes only.
    Probe,
    /// The target list marks the faulty target as leaving at the onset.
    Informed,
}

impl Policy {
    /// Returns the name in the reported figures.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Sequential(_) => "sequential",
            Self::Consecutive => "consecutive",
            Self::Probe => "probe",
            Self::Informed => "informed",
        }
    }

    /// Returns the name of the profile in the reported figures.
    pub(crate) fn profile(self) -> &'static str {
        match self {
            Self::Sequential(Profile::FewFalseEjections) => "few_false_ejections",
            Self::Sequential(Profile::FastDetection) => "fast_detection",
            _ => "none",
        }
    }

    /// Creates the detector of one daemon.
    pub(crate) fn detector(self) -> Box<dyn Detector> {
        match self {
            Self::Sequential(profile) => Box::new(SequentialDetector::new(profile.options())),
            Self::Probe => Box::<ProbeOnlyDetector>::default(),
            Self::Consecutive | Self::Informed => Box::<ConsecutiveFailureDetector>::default(),
        }
    }
}

/// Parameters of one run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    /// Size of the service.
    pub(crate) site: Site,
    /// How faulty targets are detected.
    pub(crate) policy: Policy,
    /// Fault to simulate.
    pub(crate) fault: Fault,
    /// Sum of the plans' rates, as a share of the slots.
    pub(crate) load: f64,
    /// Request rate of the first workspace, as a multiple of the rate of its plan. The other
    /// workspaces use 90% of theirs.
    pub(crate) neighbour_load: f64,
    /// Time at which the fault starts.
    pub(crate) onset_s: f64,
    /// Time at which the run ends.
    pub(crate) end_s: f64,
    /// Whether the run ends as soon as all daemons have ejected the faulty target.
    pub(crate) until_detected: bool,
    /// Seed of all random choices.
    pub(crate) seed: u64,
}

/// Results of one run.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    /// Time from the onset until the last daemon has ejected the faulty target.
    pub(crate) detect_s: Option<f64>,
    /// Requests admitted after the onset.
    pub(crate) admitted: u64,
    /// Admitted requests that were answered successfully in time.
    pub(crate) good: u64,
    /// Admitted requests that were refused because all targets were busy.
    pub(crate) refused: u64,
    /// Ejections and trials at all daemons.
    pub(crate) ejections: u64,
    /// Number of checks that found the routing set of a daemon below the floor.
    pub(crate) floor_violations: u64,
    /// Lowest share of good responses among the admitted requests of a workspace.
    pub(crate) worst_workspace: f64,
    /// Suspicion messages per daemon and second.
    pub(crate) messages_per_s: f64,
    /// Simulated time.
    pub(crate) simulated_s: f64,
}
