//! The processes: crashes, starts, sessions, and the work that they admit within their rows.

use super::*;

impl World {
    pub(super) fn crash(&mut self, who: usize, arg: u8) {
        if !arg.is_multiple_of(3) {
            return;
        }
        self.processes[who].is_alive = false;
        if arg.is_multiple_of(2) {
            self.vms.remove(&self.processes[who].vm.clone());
        }
    }

    pub(super) fn start_process(&mut self, who: usize, arg: u8) {
        let old = &self.processes[who];
        if old.is_alive {
            return;
        }
        let (old_vm, old_boots, dc) = (old.vm.clone(), old.boots, old.dc);
        let is_same_vm = self.vms.contains_key(&old_vm);
        let (vm, boots) = match (is_same_vm, arg % 2) {
            (true, 0) => (old_vm, old_boots),
            (true, _) => (old_vm, old_boots + 1),
            (false, _) => {
                let name = format!("vm{}", self.next_id());
                (name.parse().expect("a name"), 1)
            }
        };
        self.vms.insert(vm.clone(), boots);
        self.processes[who] = self.new_process(dc, vm, boots);
        self.join(who);
    }

    pub(super) fn grant_session(&mut self, who: usize) -> SessionId {
        let number = self.next_id();
        let id = SessionId::new(u64::try_from(number).expect("a small number"));
        self.sessions.insert(id, self.now + TTL);
        let until = self.at(self.now + TTL);
        self.processes[who].session = Some(Session { id, until });
        id
    }

    pub(super) fn join(&mut self, who: usize) {
        let session = self.grant_session(who);
        let process = &self.processes[who];
        let join = DcEdit::Join {
            owner: process.entry,
            vm: process.vm.clone(),
            boots: process.boots,
            session,
        };
        self.dc_edit(self.processes[who].dc, join);
    }

    pub(super) fn is_expired(&self, session: SessionId) -> bool {
        self.sessions
            .get(&session)
            .is_none_or(|end| self.now >= *end)
    }

    pub(super) fn renew(&mut self, who: usize) {
        let Some(session) = self.processes[who].session else {
            return;
        };
        if self.is_expired(session.id) {
            let owner = self.processes[who].entry;
            let session = self.grant_session(who);
            let renew = DcEdit::Renew { owner, session };
            self.dc_edit(self.processes[who].dc, renew);
        } else {
            self.sessions.insert(session.id, self.now + TTL);
            let until = self.at(self.now + TTL);
            let id = session.id;
            self.processes[who].session = Some(Session { id, until });
        }
    }

    pub(super) fn refresh(&mut self, who: usize) {
        let doc = self.dcs[self.processes[who].dc].clone();
        let dcs = self.dcs.clone();
        let process = &mut self.processes[who];
        process.seen = dcs;
        let part = own_part(&doc, process.entry);
        let outcome = process.unknown.as_ref().map(|unknown| {
            let is_settled = doc.recent().total() > unknown.base_total;
            (
                doc.recent().outcome(unknown.edit, unknown.base_total),
                is_settled,
            )
        });
        match outcome {
            None | Some((Outcome::Applied, _) | (Outcome::NotApplied, true)) => {
                process.cap = part;
                process.unknown = None;
            }
            Some(_) => process.cap = min(process.cap, part),
        }
    }

    pub(super) fn running(&self, entry: EntryId) -> u32 {
        let own = self.work.iter().filter(|work| work.entry == entry);
        u32::try_from(own.count()).expect("a small number")
    }

    /// Acts as an entry under load: renews its session, reads, acquires all free slots and admits. Sometimes it also
    /// admits before it reads.
    pub(super) fn serve(&mut self, who: usize, arg: u8, fate: u8) {
        self.renew(who);
        if arg >= 128 {
            self.admit(who, arg);
        }
        self.refresh(who);
        let process = &self.processes[who];
        let quota = self.dcs[process.dc].teams().get(&team());
        let free = quota.map_or(Slots::ZERO, |quota| quota.ceiling() - quota.held());
        let total = process.cap.total() + free;
        let floor = total.min(Slots::new(u32::from(arg) % 3));
        self.set(who, Part::new(floor, total - floor), fate);
        self.refresh(who);
        self.admit(who, arg);
    }

    pub(super) fn set_any(&mut self, who: usize, arg: u8, fate: u8) {
        let floor = Slots::new(u32::from(arg) % 3);
        let lent = Slots::new(u32::from(arg) / 3 % 3);
        self.set(who, Part::new(floor, lent), fate);
    }

    pub(super) fn set(&mut self, who: usize, part: Part, fate: u8) {
        let process = &self.processes[who];
        let Some(session) = process.session.filter(|_| process.unknown.is_none()) else {
            return;
        };
        if part.total().get() < self.running(process.entry) {
            return;
        }
        let set = DcEdit::Set {
            owner: process.entry,
            session: session.id,
            parts: vec![TeamPart { team: team(), part }],
        };
        let (dc, before) = (process.dc, process.cap);
        self.processes[who].cap = min(before, part);
        let edit = EditId::new(self.next_id());
        let base_total = self.dcs[dc].recent().total();
        match self.swap_dc(dc, edit, set, fate) {
            Swap::Done => self.processes[who].cap = part,
            Swap::Refused => self.processes[who].cap = before,
            Swap::Unknown => {
                self.processes[who].unknown = Some(Unknown { edit, base_total });
            }
        }
    }

    pub(super) fn usable(&self, who: usize) -> u32 {
        let process = &self.processes[who];
        let doc = &process.seen[process.dc];
        let mut session = process.session;
        if self.rule == Rule::TrustSession {
            session = session.map(|s| Session {
                until: self.at(self.now + 1),
                ..s
            });
        }
        let mut grants = Grants::of(
            doc,
            process.entry,
            self.cats.last().expect("a catalogue"),
            session,
        );
        let team = TeamId::new(0);
        grants.set(team, min(grants.part(team), process.cap));
        grants.usable(team, self.at(self.now)).get()
    }

    pub(super) fn admit(&mut self, who: usize, arg: u8) {
        let entry = self.processes[who].entry;
        while self.running(entry) < self.usable(who) {
            let until = self.now + 1 + u64::from(arg) % RUN_BOUND;
            self.work.push(Work { entry, until });
            self.admitted += 1;
        }
    }
}
