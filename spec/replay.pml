// Model of the replay of release notes (pkg/config).
//
// Four notes compete for the items X and Y: two add X, one withdraws X and one adds Y, which refers to X. Each note is
// based on the empty log or on its end, is appended, and is appended again if the reply was lost. VM 0 applies every
// record at once and is the reference. VM 1 stands for all other VMs: it lags, restarts, and restores the state of a peer
// at any offset or a snapshot in the log. Snapshots may be appended late and by several VMs at a time. The oldest records
// expire. IDs and withdrawals before the floor are removed, and only snapshot records in the log advance the floor. A log
// outage is a period in which no VM appends to the log, reads it or restores a snapshot from it while peers still answer.
// The search covers every such period, because no step is ever forced.
//
// Asserted: VMs at the same offset have the same state; the offset of a VM never decreases; no ID is accepted twice, or
// accepted after it was refused; an accepted note changes no item that was changed after its base.
//
// bounds: 4 notes, 1 repeated append, 2 snapshots, 1 restart, 2 expired records, window of 1 tick
// mutants: BASE IDS CONFLICT WITHDRAWAL OLDER SNAPSHOT LOCAL GAP

#define NOTES 4
#define VMS 2
#define REPEATS 1
#define SNAPSHOTS 2
#define RESTARTS 1
#define EXPIRED 2
#define RECORDS 7	// NOTES + REPEATS + SNAPSHOTS

// Notes.
#define ADD_X 0
#define WITHDRAW_X 1
#define ADD_X_TOO 2
#define ADD_Y 3

// A record is a note number, or SNAP plus the next offset of the state in the snapshot.
#define SNAP 4

// Offsets marked "plus one" are stored plus one, so that 0 means none.

byte record[RECORDS];
byte end = 0;
byte start = 0;

// Bases of the notes plus one, as written by their authors.
byte base[NOTES];

// The state of a VM.
typedef Replay {
	byte next;
	byte known;	// bit mask of remembered IDs
	byte accepted;	// bit mask of the accepted ones among them
	byte id_offset[NOTES];	// plus one
	bool x;
	byte x_offset;	// plus one; offset of the withdrawal while x is false
	bool y;
	byte floor;
	byte mark_old;	// plus one
	byte mark_new;	// plus one
}
Replay vm[VMS];

// The states of the reference by offset, encoded in two words.
int seen_items[RECORDS + 1];
int seen_ids[RECORDS + 1];

// Complete history for the assertions: the verdict on each note (0 none, 1 refused, 2 accepted), and the offset, plus
// one, at which the note was accepted.
byte verdict[NOTES];
byte decided[NOTES];

#define ITEMS(v) (1 + vm[v].x * 2 + vm[v].y * 4 + vm[v].x_offset * 8 + vm[v].floor * 128 \
	+ vm[v].mark_old * 2048 + vm[v].mark_new * 32768)
#define IDS(v) (vm[v].known + vm[v].accepted * 16 + vm[v].id_offset[0] * 256 + vm[v].id_offset[1] * 4096 \
	+ vm[v].id_offset[2] * 65536 + vm[v].id_offset[3] * 1048576)

// note_state records the state of the reference at its offset.
inline note_state() {
	seen_items[vm[0].next] = ITEMS(0);
	seen_ids[vm[0].next] = IDS(0)
}

// compare asserts that the state of VM 1 equals that of the reference at the same offset.
inline compare() {
	assert(seen_items[vm[1].next] == ITEMS(1));
	assert(seen_ids[vm[1].next] == IDS(1))
}

// TOUCHED_X is true if a note on X was accepted after base b, stored plus one, and before offset p.
#define TOUCHED(n, b, p) (verdict[n] == 2 && decided[n] > b && decided[n] < p + 1)
#define TOUCHED_X(b, p) (TOUCHED(ADD_X, b, p) || TOUCHED(WITHDRAW_X, b, p) || TOUCHED(ADD_X_TOO, b, p))

// accept checks the acceptance of note n by the reference at offset p against the complete history.
inline accept() {
	assert(n == ADD_Y || !TOUCHED_X(base[n], p));
	assert(verdict[n] == 0);
	verdict[n] = 2;
	decided[n] = p + 1
}

inline refuse() {
	if
	:: verdict[n] == 0 -> verdict[n] = 1
	:: else -> skip
	fi
}

#ifdef MUTANT_IDS
#define REMEMBERED(v, n) (false)
#else
#define REMEMBERED(v, n) ((vm[v].known >> n) & 1)
#endif

#ifdef MUTANT_BASE
#define TOO_OLD(v, n) (false)
#else
#define TOO_OLD(v, n) (base[n] < vm[v].floor)
#endif

#ifdef MUTANT_CONFLICT
#define MOVED(v, n) (false)
#else
#define MOVED(v, n) (vm[v].x_offset > base[n])
#endif

inline apply_note(v) {
	if
	:: REMEMBERED(v, n) -> skip
	:: else ->
		ok = !TOO_OLD(v, n) && base[n] <= p;
		if
		:: n == ADD_X || n == ADD_X_TOO -> ok = ok && !vm[v].x && !MOVED(v, n)
		:: n == WITHDRAW_X -> ok = ok && vm[v].x && !vm[v].y && !MOVED(v, n)
		:: n == ADD_Y -> ok = ok && !vm[v].y && vm[v].x
		fi;
		vm[v].known = vm[v].known | (1 << n);
		vm[v].id_offset[n] = p + 1;
		if
		:: ok ->
			if
			:: v == 0 -> accept()
			:: else -> skip
			fi;
			vm[v].accepted = vm[v].accepted | (1 << n);
			if
			:: n == ADD_X || n == ADD_X_TOO -> vm[v].x = true; vm[v].x_offset = p + 1
			:: n == WITHDRAW_X ->
				vm[v].x = false;
#ifdef MUTANT_WITHDRAWAL
				vm[v].x_offset = 0
#else
				vm[v].x_offset = p + 1
#endif
			:: n == ADD_Y -> vm[v].y = true
			fi
		:: v == 0 && !ok -> refuse()
		:: else -> skip
		fi
	fi
}

// apply_snapshot counts a snapshot as a tick if it was taken after the last tick.
inline apply_snapshot(v) {
	if
	:: n - SNAP >= vm[v].mark_new ->
		vm[v].mark_old = vm[v].mark_new;
		vm[v].mark_new = p + 1;
		if
		:: vm[v].mark_old > 0 -> vm[v].floor = vm[v].mark_old - 1
		:: else -> skip
		fi
	:: else -> skip
	fi
}

// forget removes the IDs and the withdrawal of X that are before the floor.
inline forget(v) {
#ifdef MUTANT_LOCAL
	if
	:: start > vm[v].floor -> vm[v].floor = start
	:: else -> skip
	fi;
#endif
	i = 0;
	do
	:: i < NOTES ->
		if
		:: ((vm[v].known >> i) & 1) && vm[v].id_offset[i] <= vm[v].floor ->
			vm[v].known = vm[v].known & ~(1 << i);
			vm[v].accepted = vm[v].accepted & ~(1 << i);
			vm[v].id_offset[i] = 0
		:: else -> skip
		fi;
		i++
	:: else -> break
	od;
	i = 0;
	if
	:: !vm[v].x && vm[v].x_offset <= vm[v].floor -> vm[v].x_offset = 0
	:: else -> skip
	fi
}

inline apply(v) {
	p = vm[v].next;
	n = record[p];
	if
	:: n < SNAP -> apply_note(v)
	:: else -> apply_snapshot(v)
	fi;
	forget(v);
	vm[v].next++;
	ok = false;
	n = 0;
	p = 0
}

// load sets VM 1 to the state of the reference at offset s, as contained in a peer or a snapshot.
inline load(s) {
	assert(s >= vm[1].next);
	vm[1].next = s;
	vm[1].x = (seen_items[s] >> 1) & 1;
	vm[1].y = (seen_items[s] >> 2) & 1;
	vm[1].x_offset = (seen_items[s] >> 3) & 15;
	vm[1].floor = (seen_items[s] >> 7) & 15;
	vm[1].mark_old = (seen_items[s] >> 11) & 15;
	vm[1].mark_new = (seen_items[s] >> 15) & 15;
#ifdef MUTANT_SNAPSHOT
	clear_ids();
#else
	vm[1].known = seen_ids[s] & 15;
	vm[1].accepted = (seen_ids[s] >> 4) & 15;
	vm[1].id_offset[0] = (seen_ids[s] >> 8) & 15;
	vm[1].id_offset[1] = (seen_ids[s] >> 12) & 15;
	vm[1].id_offset[2] = (seen_ids[s] >> 16) & 15;
	vm[1].id_offset[3] = (seen_ids[s] >> 20) & 15;
#endif
	compare()
}

inline clear_ids() {
	vm[1].known = 0;
	vm[1].accepted = 0;
	vm[1].id_offset[0] = 0;
	vm[1].id_offset[1] = 0;
	vm[1].id_offset[2] = 0;
	vm[1].id_offset[3] = 0
}

#ifdef MUTANT_OLDER
#define NEWER(s) (s != vm[1].next)
#else
#define NEWER(s) (s > vm[1].next)
#endif

// A restore from the snapshot at offset q of the log. The records that follow the state must not have expired.
#define FROM_LOG(q) d_step { \
		q >= start && q < end && record[q] >= SNAP && record[q] - SNAP >= start && NEWER(record[q] - SNAP) -> \
		p = record[q] - SNAP; \
		load(p); \
		p = 0 }

// A restore from a peer that has the state at offset s.
#define FROM_PEER(s) d_step { s <= end && NEWER(s) -> load(s) }

// Note m is published, based on the empty log or on the end of the log.
// ADD_X comes before ADD_X_TOO, because the two are interchangeable.
#define PUBLISH(m) atomic { !((appended >> m) & 1) && (m != ADD_X_TOO || (appended >> ADD_X) & 1) -> \
		if \
		:: base[m] = end \
		:: end > 0 -> base[m] = 0 \
		fi; \
		appended = appended | (1 << m); \
		append(m) }

// Note m is appended again, because its reply was lost.
#define REPEAT(m) atomic { ((appended >> m) & 1) && repeats > 0 -> \
		repeats--; \
		append(m) }

// append adds a record to the log, and the reference applies it.
inline append(r) {
	d_step {
		record[end] = r;
		end++;
		apply(0);
		note_state()
	}
}

// Other runs VM 1.
active proctype Other() {
	byte n = 0;	// the record that is applied
	byte p = 0;	// its offset
	byte i = 0;
	bool ok = false;
	byte restarts = RESTARTS;
end_idle:
	do
	// Apply the next record, which has not expired.
	:: d_step { vm[1].next >= start && vm[1].next < end ->
		apply(1);
		compare() }
	// Mutant: skip records that have expired.
#ifdef MUTANT_GAP
	:: d_step { vm[1].next < start ->
		vm[1].next = start;
		compare() }
#endif
	// Restore a snapshot of the log.
	:: FROM_LOG(1)
	:: FROM_LOG(2)
	:: FROM_LOG(3)
	:: FROM_LOG(4)
	:: FROM_LOG(5)
	:: FROM_LOG(6)
	// Restore the state of a peer.
	:: FROM_PEER(1)
	:: FROM_PEER(2)
	:: FROM_PEER(3)
	:: FROM_PEER(4)
	:: FROM_PEER(5)
	:: FROM_PEER(6)
	:: FROM_PEER(7)
	// Restart without state.
	:: d_step { restarts > 0 && vm[1].next > 0 ->
		restarts--;
		vm[1].next = 0;
		clear_ids();
		vm[1].x = false;
		vm[1].x_offset = 0;
		vm[1].y = false;
		vm[1].floor = 0;
		vm[1].mark_old = 0;
		vm[1].mark_new = 0;
		compare() }
	od
}

// Writers append to the log, and the reference applies the record at once.
active proctype Writers() {
	byte appended = 0;
	byte repeats = REPEATS;
	byte snapshots = SNAPSHOTS;
	byte n = 0;
	byte p = 0;
	byte i = 0;
	bool ok = false;
	note_state();
end_idle:
	do
	:: PUBLISH(ADD_X)
	:: PUBLISH(WITHDRAW_X)
	:: PUBLISH(ADD_X_TOO)
	:: PUBLISH(ADD_Y)
	:: REPEAT(ADD_X)
	:: REPEAT(WITHDRAW_X)
	:: REPEAT(ADD_X_TOO)
	:: REPEAT(ADD_Y)
	// Append a snapshot of the newest state, or of the state before it if another VM appended at the same time.
	:: atomic { snapshots > 0 && end > 0 ->
		snapshots--;
		if
		:: append(SNAP + end)
		:: end > 1 -> append(SNAP + end - 1)
		fi }
	od
}

// Expiry removes the oldest records of the log.
active proctype Expiry() {
end_idle:
	do
	:: d_step { start < EXPIRED && start < end -> start++ }
	od
}
