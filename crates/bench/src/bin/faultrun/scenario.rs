//! The faults, the rows of the table, and how each is brought about.

use std::time::Duration;

use goldcrest_standin::KvFault;

use crate::AnyError;
use crate::caller::{Callers, Load, Patience};
use crate::site::Site;
use crate::upstream::{self, Pool};

/// Requests a second outside bursts.
const RATE: f64 = 1_000.0;
/// Requests a second while an entry or a data centre is out for seconds.
const SLOW_RATE: f64 = 150.0;
/// How long the service is down in the long row.
const SERVICE_DOWN: Duration = Duration::from_mins(5);
/// The load before and after it.
const SERVICE_MARGIN: Duration = Duration::from_secs(5);
/// A pause of an entry.
const PAUSE: Duration = Duration::from_secs(10);
/// A longer pause.
const LONG_PAUSE: Duration = Duration::from_secs(15);

/// What goes wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An upstream does this wrong.
    Upstream(upstream::Fault),
    /// An upstream ends.
    UpstreamKilled,
    /// An entry stops gracefully.
    EntryDrained,
    /// An entry ends.
    EntryKilled,
    /// A new entry starts.
    EntryStarted,
    /// An entry does nothing for a while.
    EntryPaused(Duration),
    /// The key-value service is down for both data centres.
    ServiceDown,
    /// One data centre reaches neither the service nor the other data centre.
    DcCutOff,
}

/// How requests come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// 1,000 a second.
    Steady,
    /// The same, and five times that in the middle third.
    Burst,
    /// 150 a second, from callers that keep on asking and name a long deadline.
    Slow,
    /// Over the 5 minutes for which the service is down.
    Long,
}

/// One row of the table.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// What the table calls it.
    pub name: &'static str,
    /// What goes wrong, in this order.
    pub faults: &'static [Fault],
    /// How requests come.
    pub pace: Pace,
}

const fn row(name: &'static str, pace: Pace, faults: &'static [Fault]) -> Scenario {
    Scenario { name, faults, pace }
}

/// Every row.
pub const ALL: [Scenario; 18] = {
    use Fault::{
        DcCutOff, EntryDrained, EntryKilled, EntryPaused, EntryStarted, ServiceDown, Upstream,
        UpstreamKilled,
    };
    use Pace::{Burst, Long, Slow, Steady};
    use upstream::Fault as Wrong;
    const SLOW_UPSTREAM: Wrong = Wrong::Slow(Duration::from_millis(400));
    [
        row("none", Steady, &[]),
        row("upstream killed", Steady, &[UpstreamKilled]),
        row("upstream refusing", Steady, &[Upstream(Wrong::Refuses)]),
        row("upstream slow (400 ms)", Steady, &[Upstream(SLOW_UPSTREAM)]),
        row(
            "upstream answering crossed",
            Steady,
            &[Upstream(Wrong::Crosses)],
        ),
        row(
            "upstream cutting off mid-answer",
            Steady,
            &[Upstream(Wrong::CutsOff)],
        ),
        row("burst of five times the mean", Burst, &[]),
        row("entry drained", Steady, &[EntryDrained]),
        row(
            "entry drained and restarted",
            Steady,
            &[EntryDrained, EntryStarted],
        ),
        row("entry killed", Steady, &[EntryKilled]),
        row(
            "entry killed and restarted",
            Steady,
            &[EntryKilled, EntryStarted],
        ),
        row("entry paused 10 s", Slow, &[EntryPaused(PAUSE)]),
        row("entry paused 15 s", Slow, &[EntryPaused(LONG_PAUSE)]),
        row("one data centre cut off", Slow, &[DcCutOff]),
        row(
            "upstream killed, entry killed, burst",
            Burst,
            &[UpstreamKilled, EntryKilled],
        ),
        row(
            "upstream cutting off, entry drained, burst",
            Burst,
            &[Upstream(Wrong::CutsOff), EntryDrained],
        ),
        row(
            "entry paused 15 s, service down, upstream killed",
            Slow,
            &[ServiceDown, UpstreamKilled, EntryPaused(LONG_PAUSE)],
        ),
        row("service down 5 minutes", Long, &[ServiceDown]),
    ]
};

impl Scenario {
    /// Whether the row takes minutes.
    pub fn is_long(&self) -> bool {
        self.pace == Pace::Long
    }

    /// Whether the row sends so little that it may run beside others.
    pub fn is_light(&self) -> bool {
        matches!(self.pace, Pace::Slow | Pace::Long)
    }

    /// Whether the row has this fault.
    pub fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    /// Whether an upstream does something wrong or ends.
    pub fn strikes_upstream(&self) -> bool {
        let is_upstream =
            |fault: &Fault| matches!(fault, Fault::Upstream(_) | Fault::UpstreamKilled);
        self.faults.iter().any(is_upstream)
    }

    /// Whether an entry is only stopped in order, so that no connection may break.
    pub fn is_planned(&self) -> bool {
        self.has(Fault::EntryDrained) && !self.has(Fault::EntryKilled)
    }

    /// How long claims are kept: for as short as may be, or for longer than callers keep on asking.
    pub const fn repeat_window(&self) -> Duration {
        match self.pace {
            Pace::Steady | Pace::Burst | Pace::Long => Duration::from_secs(10),
            Pace::Slow => Duration::from_mins(1),
        }
    }

    /// When requests are sent.
    pub fn load(&self, seed: u64, requests: usize) -> Load {
        let count = f64::from(u32::try_from(requests).unwrap_or(u32::MAX));
        let rate = match self.pace {
            Pace::Steady | Pace::Burst => RATE,
            Pace::Slow => SLOW_RATE,
            Pace::Long => count / (SERVICE_DOWN + SERVICE_MARGIN * 3).as_secs_f64(),
        };
        Load::new(seed, requests, rate, self.pace == Pace::Burst)
    }

    /// When the fault comes, and how long it lasts.
    pub fn window(&self, load: &Load) -> (Duration, Duration) {
        let (begins, ends) = load.middle();
        match self.pace {
            Pace::Steady | Pace::Burst | Pace::Slow => (begins, ends.saturating_sub(begins)),
            Pace::Long => (SERVICE_MARGIN, SERVICE_DOWN),
        }
    }

    /// How callers wait and come again.
    pub const fn patience(&self) -> Patience {
        match self.pace {
            Pace::Steady | Pace::Burst | Pace::Long => Patience {
                wait: Duration::from_secs(5),
                resends: 1,
                pause: Duration::ZERO,
                deadline_ms: None,
            },
            Pace::Slow => Patience {
                wait: Duration::from_secs(2),
                resends: 12,
                pause: Duration::from_secs(1),
                deadline_ms: Some(25_000),
            },
        }
    }

    /// Brings the faults about. `lasts` is how long the shorter ones last.
    pub async fn begin(
        &self,
        pool: &Pool,
        site: &mut Site,
        callers: &Callers,
        lasts: Duration,
    ) -> Result<(), AnyError> {
        pool.choose();
        for fault in self.faults {
            match *fault {
                Fault::Upstream(wrong) => pool.set(wrong),
                Fault::UpstreamKilled => pool.kill(),
                Fault::EntryDrained => site.drain(callers).await?,
                Fault::EntryKilled => site.kill()?,
                Fault::EntryStarted => site.start_next(callers).await?,
                Fault::EntryPaused(time) => site.pause(time),
                Fault::ServiceDown => site.set_service(KvFault::Down),
                Fault::DcCutOff => site.cut_off(lasts)?,
            }
        }
        Ok(())
    }
}

/// Ends the faults that end.
pub fn end(pool: &Pool, site: &Site) {
    pool.set(upstream::Fault::None);
    site.set_service(KvFault::None);
}
