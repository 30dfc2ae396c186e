//! A process's report of itself.

use kumquatkeel_types::Revision;
use kumquatkeel_types::message::{Member, MemberState, TargetStatus};

/// What a process learns from a report of itself that comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Echo {
    /// The report is the process's own, or older.
    Known,
    /// The process was taken for dead; its report was raised to refute it.
    Refuted,
    /// Another process has the same name and a later life; this one must stop.
    Superseded,
}

/// A process's report of itself; it raises the version at each change.
#[derive(Debug, Clone)]
pub struct OwnReport {
    member: Member,
}

impl OwnReport {
    /// Starts from a first report.
    pub const fn new(member: Member) -> Self {
        Self { member }
    }

    /// Returns the report.
    pub const fn member(&self) -> &Member {
        &self.member
    }

    /// Sets whether the process takes new work. A life only goes on, from starting to gone.
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
    /// Loads travel with the report but are no reason to tell everyone: they raise no version.
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

    /// Raises the version, so that the report is told again.
    pub const fn bump_version(&mut self) {
        self.member.version.sequence += 1;
    }

    /// Takes in what others have heard of this process.
    pub fn on_echo(&mut self, seen: &Member) -> Echo {
        if seen.role != self.member.role {
            return Echo::Known;
        }
        if seen.version.incarnation > self.member.version.incarnation {
            return Echo::Superseded;
        }
        let refutes = seen.state == MemberState::Gone && self.member.state != MemberState::Gone;
        if !refutes || seen.version < self.member.version {
            return Echo::Known;
        }
        self.member.version.sequence = seen.version.sequence;
        self.bump_version();
        Echo::Refuted
    }
}

/// Returns how far a life in this state is.
const fn stage_of(state: MemberState) -> u8 {
    match state {
        MemberState::Starting => 0,
        MemberState::Serving => 1,
        MemberState::Draining => 2,
        MemberState::Gone => 3,
    }
}

fn without_load(status: &TargetStatus) -> TargetStatus {
    let mut status = status.clone();
    status.load = kumquatkeel_types::message::LoadSummary::default();
    for replica in &mut status.replicas {
        replica.load = kumquatkeel_types::message::LoadSummary::default();
    }
    status
}
