// Model of the lease for sending orders by claims in the platform's log (pkg/issuer, pkg/gateway/orders.go).
//
// A VM lists the claims and appends its own after the newest one listed, on condition that no other claim has been
// appended since. It sends orders only within H of the start of a read in which its claim is the newest. After a claim
// of another VM it waits until that VM's last order must have arrived, plus the minimum time T between orders of two
// VMs. A holder that stops announces the time of the last order that it or a previous holder may have sent. A VM may be
// killed, which loses its whole state, or act late at any point. An order arrives within O.
//
// bounds: 3 VMs, time 0 to 5 with H=1 O=1 T=1, 3 claims, 1 kill in all, 1 order in transit per VM, a read is served when it starts
// mutants: NO_CONDITION NO_WAIT OWN_PASSED_OVER OWN_ORDERS_ONLY NO_READ READ_COUNTS_FROM_END

#define VMS 3
#define H 1
#define O 1
#define T 1
#define END 5
#define CLAIMS 3
#define NONE 255

byte now = 0;
byte claims = 0; /* number of claims, the newest token */
byte author = NONE; /* author of the newest claim */

typedef Vm {
	bool up;
	bool stopped; /* stopped gracefully and announced last */
	byte token; /* 0 without a claim */
	byte actFrom;
	byte readAt;
	byte last; /* latest time at which an order may have been sent, plus 1; 0 for never */
	bool listed;
	byte listedEnd;
	bool reading;
	byte readStart;
	bool order; /* in transit */
	byte sent;
	byte orderToken
};
Vm vm[VMS];

bool killed = false;
byte lastBy = NONE;
byte lastAt;
byte lastToken;

#ifdef MUTANT_NO_CONDITION
#define UNCHANGED(i) true
#else
#define UNCHANGED(i) (claims == vm[i].listedEnd)
#endif

#ifdef MUTANT_OWN_PASSED_OVER
#define FIRST(i) (vm[i].listedEnd == 0 || author == i)
#else
#define FIRST(i) (vm[i].listedEnd == 0)
#endif

#ifdef MUTANT_NO_READ
#define FRESH(i) true
#else
#define FRESH(i) (now < vm[i].readAt + H)
#endif

/* Appends a claim and computes the time from which it permits orders. */
inline claim(i) {
	if
	:: FIRST(i) ->
		vm[i].actFrom = now;
		vm[i].last = 0
	:: else ->
		if
		:: vm[author].stopped && vm[author].token == claims ->
			vm[i].last = vm[author].last;
			if
			:: vm[author].last == 0 -> vm[i].actFrom = now
			:: else -> vm[i].actFrom = vm[author].last - 1 + O + T
			fi
		:: else ->
			vm[i].last = now + H + 1;
#ifdef MUTANT_NO_WAIT
			vm[i].actFrom = now
#else
			vm[i].actFrom = now + H + O + T
#endif
		fi
	fi;
	claims++;
	author = i;
	vm[i].token = claims;
	vm[i].readAt = now;
	vm[i].listed = false;
	vm[i].listedEnd = 0;
	vm[i].reading = false;
	vm[i].readStart = 0
}

inline forget(i) {
	vm[i].token = 0;
	vm[i].actFrom = 0;
	vm[i].readAt = 0;
	vm[i].last = 0;
	vm[i].listed = false;
	vm[i].listedEnd = 0;
	vm[i].reading = false;
	vm[i].readStart = 0
}

proctype Gateway(byte i) {
endgateway:
	do
	:: atomic { vm[i].up && !vm[i].listed && claims < CLAIMS && !(author == i && vm[i].token == claims && claims > 0) ->
		d_step { vm[i].listed = true; vm[i].listedEnd = claims } }
	/* The VMs are interchangeable, so the first claim is always that of VM 0. */
	:: atomic { vm[i].up && vm[i].listed && (claims > 0 || i == 0) ->
		if
		:: UNCHANGED(i) && claims < CLAIMS -> d_step { claim(i) }
		:: else -> d_step { vm[i].listed = false; vm[i].listedEnd = 0 }
		fi }
	/* A read is served when it starts, and its result is handled later. A result with another claim changes nothing. */
	:: atomic { vm[i].up && vm[i].token == claims && claims > 0 && !vm[i].reading && vm[i].readAt != now ->
		d_step { vm[i].reading = true; vm[i].readStart = now } }
	:: atomic { vm[i].up && vm[i].reading -> d_step {
#ifdef MUTANT_READ_COUNTS_FROM_END
		vm[i].readAt = now;
#else
		vm[i].readAt = vm[i].readStart;
#endif
		vm[i].reading = false;
		vm[i].readStart = 0
		} }
	:: atomic { vm[i].up && vm[i].token != 0 && now >= vm[i].actFrom && FRESH(i) && !vm[i].order -> d_step {
		vm[i].order = true;
		vm[i].sent = now;
		vm[i].orderToken = vm[i].token;
		vm[i].last = now + 1
		} }
	:: atomic { vm[i].order -> d_step {
		vm[i].order = false;
		assert(lastBy == NONE || lastBy == i || now >= lastAt + T);
		assert(vm[i].orderToken >= lastToken);
		lastBy = i;
		lastAt = now;
		lastToken = vm[i].orderToken;
		vm[i].sent = 0;
		vm[i].orderToken = 0
		} }
	:: atomic { vm[i].up && vm[i].token != 0 -> d_step {
		vm[i].up = false;
		vm[i].stopped = true;
#ifdef MUTANT_OWN_ORDERS_ONLY
		if
		:: vm[i].last > 0 && vm[i].last - 1 < vm[i].actFrom -> vm[i].last = 0
		:: else -> skip
		fi
#endif
		} }
	:: atomic { vm[i].up && !killed && vm[i].token != 0 -> d_step { killed = true; forget(i) } }
	od
}

// Advances the time, unless an order would then take longer than O.
proctype Clock() {
endclock:
	do
	:: atomic { now < END && !(vm[0].order && vm[0].sent + O <= now) && !(vm[1].order && vm[1].sent + O <= now) &&
		!(vm[2].order && vm[2].sent + O <= now) -> now++ }
	od
}

init {
	atomic {
		vm[0].up = true;
		vm[1].up = true;
		vm[2].up = true;
		run Gateway(0);
		run Gateway(1);
		run Gateway(2);
		run Clock()
	}
}
