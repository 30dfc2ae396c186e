//! The report that a process publishes about itself.

use kumquatkeel_types::Revision;
use kumquatkeel_types::message::{Member, MemberState, TargetStatus};

/// Result of receiving this process's own report back from another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Echo {
    /// The report agrees with the process's own, or is outdated.
    Known,
    /// The process was marked as gone; the version of its report was raised to refute this.
    Refuted,
    /// A newer incarnation runs under the same name; this process must stop.
    Superseded,
}

/// The report that a process publishes about itself; each change raises its version.
#[derive(Debug, Clone)]
pub struct OwnReport {
    member: Member,
}

impl OwnReport {
    /// Starts with an initial report.
    pub const fn new(member: Member) -> Self {
        Self { member }
    }

    /// Returns the report in its latest version.
    pub const fn member(&self) -> &Member {
        &self.member
    }

    /// Sets whether the process takes new work.
    ///
    /// The state only advances, from starting to gone; an earlier state is ignored.
    pub fn set_state(&mut self, state: MemberState) {
        if stage_of(state) > stage_of(self.member.state) {
            self.member.state = state;
            self.bump_version();
        }
    }

    /// Sets the configuration revision in force.
    pub fn set_revision(&mut self, revision: Revision) {
        if self.member.revision != revision {
            self.member.revision = revision;
            self.bump_version();
        }
    }

    /// Sets the state of the target.
    ///
    /// Load figures are part of the report, but a change of load alone does not raise its version,
    /// so that it is not sent on to all processes.
    pub fn set_target(&mut self, target: TargetStatus) {
        let changed = self
            .member
            .target
            .as_ref()
            .is_none_or(|old| without_load(old) != without_load(&target));
        self.member.target = Some(target);
        if changed {
            self.bump_version();
        }
    }

    /// Raises the version, so that the report is sent again.
    pub const fn bump_version(&mut self) {
        self.member.version.sequence += 1;
    }

    /// Handles a report about this process that another process sent back.
    pub fn on_echo(&mut self, report: &Member) -> Echo {
        if report.role != self.member.role {
            return Echo::Known;
        }
        if report.version.incarnation > self.member.version.incarnation {
            return Echo::Superseded;
        }
        let wrongly_gone =
            report.state == MemberState::Gone && self.member.state != MemberState::Gone;
        if !wrongly_gone || report.version < self.member.version {
            return Echo::Known;
        }
        self.member.version.sequence = report.version.sequence;
        self.bump_version();
        Echo::Refuted
    }
}

/// Returns the position of a state in the lifecycle of a process.
const fn stage_of(state: MemberState) -> u8 {
    match state {
        MemberState::Starting => 0,
        MemberState::Serving => 1,
        MemberState::Draining => 2,
        MemberState::Gone => 3,
    }
}

/// Returns a status with all load figures set to zero.
fn without_load(status: &TargetStatus) -> TargetStatus {
    let mut status = status.clone();
    status.load = kumquatkeel_types::message::LoadSummary::default();
    for replica in &mut status.replicas {
        replica.load = kumquatkeel_types::message::LoadSummary::default();
    }
    status
}
