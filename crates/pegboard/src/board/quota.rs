//! The duty of giving away the slots of quotas' homes, as this registry carries it out.

use super::{Board, CALL_US, Output};
use rack::state::Command;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

impl Board {
    /// Proposes what is due. Only beside a leader that has led for long enough to have heard who is there.
    pub(super) fn tend_quota_homes(&mut self, out: &mut Vec<Output>) {
        self.quota_homes.look(self.now, &self.copy.state);
        self.under_way_quota.give_up_before(self.now.saturating_sub(2 * CALL_US));
        let since = self.fresh_since.max(self.leads_since);
        let settled = self.now > since + self.terms.beat_us / 2;
        let busy = self.under_way_quota.is_busy(self.copy.rev());
        if !(self.leads && self.is_fresh() && settled) || busy {
            return;
        }
        let state = &self.copy.state;
        let alive = state.nodes.keys().filter(|ip| self.presence.alive(self.now, state, **ip));
        let alive: BTreeSet<Ipv4Addr> = alive.copied().collect();
        let Some(change) = self.quota_homes.due(self.now, state, &alive) else { return };
        let ticket = self.on_duty(Command::Quota(change), out);
        self.under_way_quota.send(ticket, self.now);
    }
}
