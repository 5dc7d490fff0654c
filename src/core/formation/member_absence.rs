//! Open groups of which a member is out of sight: it has no entry, or cannot be reached. The expected
//! load is a part of the servers that is cut off from the store and from the entry instances for some
//! seconds, while the other members of their groups still reach them. As long as streams go on, such
//! a group is whole.

use {
    super::{FormationManager, GroupKey, GroupPhase, GroupProgress},
    std::time::Duration,
};

/// Longest time for which a group stays open while a member is out of sight.
const ABSENCE_LIMIT: Duration = Duration::from_secs(10);

/// Longest pause between two reports of gateways that suspect a group for the same cause. They repeat
/// them while no stream goes on, and take them back at the next event.
const SUSPICION_PAUSE: Duration = Duration::from_millis(500);

/// Time for which reports go on when streams stand still. A single failed answer causes one, too.
const STANDSTILL_TIME: Duration = Duration::from_millis(200);

impl FormationManager {
    /// Sets which groups run requests of any gateway, by name and epoch.
    pub fn set_loaded_groups(&mut self, is_loaded: impl Fn(&str, u64) -> bool) {
        for group in self.groups.values_mut() {
            group.progress.is_loaded = is_loaded(&group.name, group.epoch);
        }
    }

    /// Records since when a member other than the head is out of sight.
    pub(super) fn note_missing_members(&mut self, now: Duration, key: GroupKey) {
        let members = &self.groups[key].members[1..];
        let mut records = members
            .iter()
            .filter_map(|member| self.servers.get(*member));
        let is_missing = records.any(|record| !record.present || record.is_unreachable());
        let progress = &mut self.groups[key].progress;
        if !is_missing {
            progress.member_missing_since = None;
            return;
        }
        progress.member_missing_since.get_or_insert(now);
    }

    /// True while a group makes progress although a member may be out of sight: requests run there,
    /// and no gateway has suspected it lately.
    pub(super) fn goes_on_without_sight(&self, now: Duration, key: GroupKey) -> bool {
        let group = &self.groups[key];
        let progress = &group.progress;
        let is_open = matches!(group.phase, GroupPhase::Open | GroupPhase::Closing);
        let since = progress.member_missing_since.unwrap_or(now);
        is_open && progress.is_loaded && !progress.stands_still(now) && now < since + ABSENCE_LIMIT
    }
}

impl GroupProgress {
    /// Records that a gateway suspects the group.
    pub(super) fn note_suspicion(&mut self, now: Duration) {
        let goes_on = |(_, last): &(Duration, Duration)| now < *last + SUSPICION_PAUSE;
        let first = self
            .suspected
            .filter(goes_on)
            .map_or(now, |(first, _)| first);
        self.suspected = Some((first, now));
    }

    /// True while gateways keep reporting that no stream of the group goes on.
    fn stands_still(&self, now: Duration) -> bool {
        self.suspected.is_some_and(|(first, last)| {
            last >= first + STANDSTILL_TIME && now < last + SUSPICION_PAUSE
        })
    }
}
