// Model of fenced engine orders (pkg/order).
//
// Endpoint CHECKS refuses orders with an old fencing number, endpoint IGNORES does not. The old issuer may be paused at
// any point. It renews its lease while there is no claim and for L after one, because it may read a lagging VM list while
// it cannot reach the log. Its orders arrive within the order timeout O or never. The new issuer sends orders to CHECKS
// at once, and to IGNORES only when the old lease has lapsed and no old order can be in transit. It repeats an order
// whose reply was lost. It considers an endpoint settled when it has read the wanted version back. An engine that crashes
// restarts empty, without its fencing number and as another incarnation.
//
// bounds: 2 issuers, 2 endpoints, time 0 to 12 with F=2 L=2 O=1, 2 orders of each issuer and 1 crash per endpoint
// mutants: NO_FENCE_CHECK NO_WAIT NO_ORDER_TIMEOUT CHECK_EARLY READ_BACK_EARLY INCARNATION_UNSEEN

#define F 2
#define L 2
#define O 1
#define END 12
#define NONE 255
#define CHECKS 0
#define IGNORES 1
#define ORDERS 2

// Versions of an endpoint: none, that of the old orders and that of the new orders.
#define EMPTY 0
#define OLD 1
#define NEW 2

byte now = 0;
byte evidence = 0; /* time of the old issuer's newest evidence */
byte claimAt = NONE; /* time at which the new issuer read its claim back */
bool checked[2]; /* CHECK_EARLY: the lease was checked at some time before the send */

byte version[2];
bool fenced[2]; /* the endpoint has received the new fencing number */
bool acted[2]; /* an order of the new issuer took effect in this incarnation */
bool settled[2]; /* the new issuer read the wanted version back */
bool crashed[2];

bool oldOrder[2]; /* in transit */
byte oldDeadline[2];
byte oldSent[2];
bool newOrder[2]; /* in transit */
byte newSent[2];

#ifdef MUTANT_NO_WAIT
#define LAPSED (claimAt != NONE)
#else
#ifdef MUTANT_NO_ORDER_TIMEOUT
#define LAPSED (claimAt != NONE && now >= claimAt + F + L)
#else
#define LAPSED (claimAt != NONE && now >= claimAt + F + L + O)
#endif
#endif

#define MAY_ORDER(x) (claimAt != NONE && (x == CHECKS || LAPSED))

#ifdef MUTANT_READ_BACK_EARLY
#define FINAL(x) (claimAt != NONE)
#else
#define FINAL(x) (LAPSED || (x == CHECKS && fenced[x]))
#endif

#ifdef MUTANT_NO_FENCE_CHECK
#define REFUSES(x) false
#else
#define REFUSES(x) (x == CHECKS && fenced[x])
#endif

#define RIGHT (now < evidence + F)

inline oldSend(x) {
	oldOrder[x] = true;
	oldDeadline[x] = now + O;
	oldSent[x]++
}

proctype OldIssuer() {
endold:
	do
	:: atomic { evidence != now && (claimAt == NONE || now <= claimAt + L) -> evidence = now }
#ifdef MUTANT_CHECK_EARLY
	:: atomic { RIGHT && !checked[CHECKS] -> checked[CHECKS] = true; checked[IGNORES] = true }
	:: atomic { checked[CHECKS] && !oldOrder[CHECKS] && oldSent[CHECKS] < ORDERS -> oldSend(CHECKS) }
	:: atomic { checked[IGNORES] && !oldOrder[IGNORES] && oldSent[IGNORES] < ORDERS -> oldSend(IGNORES) }
#else
	:: atomic { RIGHT && !oldOrder[CHECKS] && oldSent[CHECKS] < ORDERS -> oldSend(CHECKS) }
	:: atomic { RIGHT && !oldOrder[IGNORES] && oldSent[IGNORES] < ORDERS -> oldSend(IGNORES) }
#endif
	od
}

proctype NewIssuer() {
endnew:
	do
	:: atomic { claimAt == NONE -> claimAt = now }
	:: atomic { MAY_ORDER(CHECKS) && version[CHECKS] != NEW && !newOrder[CHECKS] && newSent[CHECKS] < ORDERS ->
		newOrder[CHECKS] = true; newSent[CHECKS]++ }
	:: atomic { MAY_ORDER(IGNORES) && version[IGNORES] != NEW && !newOrder[IGNORES] && newSent[IGNORES] < ORDERS ->
		newOrder[IGNORES] = true; newSent[IGNORES]++ }
	:: atomic { FINAL(CHECKS) && version[CHECKS] == NEW && !settled[CHECKS] -> settled[CHECKS] = true }
	:: atomic { FINAL(IGNORES) && version[IGNORES] == NEW && !settled[IGNORES] -> settled[IGNORES] = true }
	od
}

proctype Endpoint(byte x) {
endendpoint:
	do
	/* An order of the old issuer arrives, or is lost. */
	:: atomic { oldOrder[x] -> d_step {
		oldOrder[x] = false;
		oldDeadline[x] = 0;
		if
		:: REFUSES(x) -> skip
		:: else ->
			version[x] = OLD;
			assert(!acted[x]);
			assert(!settled[x])
		fi
		} }
	:: atomic { oldOrder[x] -> oldOrder[x] = false; oldDeadline[x] = 0 }
	/* An order of the new issuer arrives, or is lost. */
	:: atomic { newOrder[x] -> d_step {
		newOrder[x] = false;
		version[x] = NEW;
		fenced[x] = true;
		acted[x] = true
		} }
	:: atomic { newOrder[x] -> newOrder[x] = false }
	/* Crash. */
	:: atomic { !crashed[x] -> d_step {
		crashed[x] = true;
		version[x] = EMPTY;
		fenced[x] = false;
		acted[x] = false;
#ifndef MUTANT_INCARNATION_UNSEEN
		settled[x] = false
#else
		skip
#endif
		} }
	od
}

// Advances the time, unless an order of the old issuer would then be in transit beyond its timeout.
proctype Clock() {
endclock:
	do
	:: atomic { now < END && !(oldOrder[0] && oldDeadline[0] <= now) && !(oldOrder[1] && oldDeadline[1] <= now) ->
		now++ }
	od
}

init {
	atomic {
		if
		:: version[CHECKS] = NEW
		:: skip
		fi;
		if
		:: version[IGNORES] = NEW
		:: skip
		fi;
		run OldIssuer();
		run NewIssuer();
		run Endpoint(CHECKS);
		run Endpoint(IGNORES);
		run Clock()
	}
}
