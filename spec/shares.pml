// Model of the rate limit of a workspace over all VMs (pkg/share).
//
// Each VM has a token bucket for the whole system. It deducts its own admissions at once and those of the other VM when
// they are reported. When a peer has been silent for S ticks, its equal part of the stock and the refill is set aside
// until it reports again. A VM may be killed and restarts with an empty bucket, which the first report of the other VM
// corrects. Any report may be lost, in one direction or both.
//
// The limit is the burst plus the refill, plus only what two VMs and a killed one can admit before a silence is detected.
//
// bounds: 2 VMs, 10 ticks, rate 2 and burst 4, at most one request of 2 a tick and VM, S=2, 1 kill
// mutants: NO_DEBIT NO_ASIDE FULL_REFILL ASIDE_WITHOUT_DEBIT

#define END 10
#define RATE 2
#define BURST 4
#define COST 2
#define S 2
#define SLACK (3 * COST * S)

typedef Vm {
	short level;
	byte admitted; /* tokens admitted since the start of the process, as reported */
	byte boot;
	bool fresh; /* restarted and not yet corrected by a report */
	byte seen; /* the other VM's admitted count in its last report */
	byte seenBoot;
	byte silence; /* ticks since the other VM's last report */
	bool quiet; /* the other VM is considered silent */
	short aside
};
Vm vm[2];
byte now = 0;
byte total = 0;
bool killed = false;

#define MIN(a, b) (((a) < (b)) -> (a) : (b))

/* Applies the other VM's report: returns the part that was set aside and deducts the other VM's admissions. */
inline report(i, o) {
	if
	:: vm[i].seenBoot != vm[o].boot -> vm[i].seenBoot = vm[o].boot; vm[i].seen = 0
	:: else
	fi;
	if
	:: vm[i].fresh -> vm[i].fresh = false; vm[i].level = MIN(vm[o].level, BURST)
	:: else ->
		vm[i].level = vm[i].level + vm[i].aside;
#ifdef MUTANT_NO_DEBIT
		skip;
#else
#ifdef MUTANT_ASIDE_WITHOUT_DEBIT
		if
		:: vm[i].quiet -> skip
		:: else -> vm[i].level = vm[i].level - (vm[o].admitted - vm[i].seen)
		fi;
#else
		vm[i].level = vm[i].level - (vm[o].admitted - vm[i].seen);
#endif
#endif
		vm[i].level = MIN(vm[i].level, BURST)
	fi;
	vm[i].seen = vm[o].admitted;
	vm[i].aside = 0;
	vm[i].quiet = false;
	vm[i].silence = 0
}

inline refill(i) {
#ifdef MUTANT_FULL_REFILL
	vm[i].level = MIN(vm[i].level + RATE, BURST)
#else
	if
	:: vm[i].quiet -> vm[i].level = MIN(vm[i].level + RATE / 2, BURST)
	:: else -> vm[i].level = MIN(vm[i].level + RATE, BURST)
	fi
#endif
}

/* Refills the bucket, and sets the part of a peer aside that has been silent for S ticks. */
inline tick(i) {
	refill(i);
	if
	:: vm[i].silence < S -> vm[i].silence++
	:: else
	fi;
	if
	:: vm[i].silence == S && !vm[i].quiet ->
#ifndef MUTANT_NO_ASIDE
		vm[i].quiet = true;
		if
		:: vm[i].level > 0 -> vm[i].aside = (vm[i].level + 1) / 2; vm[i].level = vm[i].level - vm[i].aside
		:: else
		fi
#else
		skip
#endif
	:: else
	fi
}

inline kill(i) {
	killed = true;
	vm[i].boot++;
	vm[i].admitted = 0;
	vm[i].seen = 0;
	vm[i].seenBoot = 9; /* no report received; differs from every boot number */
	vm[i].silence = 0;
	vm[i].quiet = false;
	vm[i].aside = 0;
	vm[i].level = 0;
	vm[i].fresh = true
}

inline admit(i) {
	d_step { total = total + COST; vm[i].level = vm[i].level - COST; vm[i].admitted = vm[i].admitted + COST }
}

active proctype System() {
	d_step { vm[0].level = BURST; vm[1].level = BURST }
	do
	:: now < END ->
		if
		:: vm[0].level >= COST -> admit(0)
		:: skip
		fi;
		if
		:: vm[1].level >= COST -> admit(1)
		:: skip
		fi;
		assert(total <= BURST + RATE * now + SLACK);
		if
		:: !killed -> atomic { kill(0) }
		:: skip
		fi;
		if
		:: d_step { report(0, 1) }
		:: skip
		fi;
		if
		:: d_step { report(1, 0) }
		:: skip
		fi;
		d_step { now++; tick(0); tick(1) }
	:: else -> break
	od
}
