/*
 * Model of the escrow of rate limit tokens over leased slots.
 *
 * VMs contend for one slot by the order of records in a log. Each VM also holds a slot of its own permanently, which
 * entitles it to take over slots and makes it one of the holders that evidence E4 asks. A holder acts while its evidence
 * is younger than F ticks. It mints one token per tick up to CAP, spends tokens, answers debits of peers and takes back
 * unused tokens. A VM that takes no step while ticks pass models a paused VM. Slots are independent, so the property for
 * the sum over all slots follows from that of one slot.
 *
 * Checked: no two VMs mint for the slot; the total stock stays within the slot's part of the burst; and spending from
 * any point on stays within that part plus the rate times the elapsed ticks (level is a token bucket for the whole part).
 */
// bounds: 2 VMs, 1 contended slot of 1 token, 3 records, F=2 L=1 wait=4 ticks, one record in transit per VM, evidence E1 only, reads are instantaneous, readers miss no change of the VM list, no log expiry, no restart
// mutants: CLOCK FULL DEBIT CAP

/* spec/lease.pml includes this file with LEASE_ONLY, which omits the tokens and adds the evidence E3 and E4. */
#ifndef MAXREC
#define MAXREC 3
#endif
#define NVM 2
#define CAP 1
#define F 2
#define L 1
#define W 4
#define FREE 3

#define CLAIM 1
#define RELEASE 2
#define RENEW 3

#define BIT(v) (1 << (v))

/* The log. */
byte rkind[MAXREC], rvm[MAXREC], repoch[MAXREC];
byte end;

/* The record in transit of each VM; kind 0 means none. pending is set until the record is read back. */
byte fkind[NVM], fepoch[NVM];
bool pending[NVM];

/* The view of each VM from the log: epoch, holder, and previous holders that may still act. */
byte next[NVM], epoch[NVM], holder[NVM], displaced[NVM];
/* Ticks since the VM read back its claim; whether it has decided to release. */
byte waited[NVM];
bool releasing[NVM];

/* Ticks until the evidence expires; whether the VM was in the last VM list that it read. */
byte ev[NVM];
bool shown[NVM];
/* A blind VM can read neither the log nor the VM list. */
bool blind[NVM];

/* Whether the VM list contains the VM, and the ticks since it last did. */
bool listed[NVM];
byte gone[NVM];

byte stock[NVM];
short level = CAP;

/* One outstanding refund and one debit that may be repeated. VMs are numbered from 1 here; 0 means none. */
byte refund, rfepoch;
byte answered;

byte v, o, i, n, sum;

#define OWNS(v) (holder[v] == (v) && displaced[v] == 0 && !releasing[v])
#define MINTS(v) (OWNS(v) && ev[v] > 0)
#ifdef MUTANT_CLOCK
/* The lease is checked at admission only. */
#define MAYSPEND(v) OWNS(v)
#else
#define MAYSPEND(v) MINTS(v)
#endif

#ifdef MUTANT_EPOCH
#define NEXTEPOCH(x) true
#else
#define NEXTEPOCH(x) (repoch[i] == epoch[x] + 1)
#endif

/* apply replays the record at i into the view of VM x. */
inline apply(x) {
	o = rvm[i];
	if
	:: rkind[i] == CLAIM && NEXTEPOCH(x) ->
		if
		:: holder[x] != FREE && holder[x] != o -> displaced[x] = displaced[x] | BIT(holder[x])
		:: else
#ifdef MUTANT_DISPLACED
			/* A released slot is treated as free although a holder before the last may still act. */
			-> displaced[x] = 0
#endif
		fi;
		displaced[x] = displaced[x] & ~BIT(o);
#ifdef MUTANT_WAIT
		displaced[x] = (o == x -> 0 : displaced[x]);
#endif
		epoch[x] = epoch[x] + 1;
		holder[x] = o;
		waited[x] = 0;
		releasing[x] = false;
		stock[x] = 0;
#ifdef MUTANT_FULL
		stock[x] = CAP;
#endif
	:: rkind[i] == RELEASE && repoch[i] == epoch[x] && holder[x] == o ->
		holder[x] = FREE;
		stock[x] = 0
	:: rkind[i] == RELEASE && repoch[i] < epoch[x] ->
		/* A displaced VM has read in the log that it no longer holds the slot. */
		displaced[x] = displaced[x] & ~BIT(o)
	:: rkind[i] == RENEW && repoch[i] == epoch[x] && holder[x] == o -> displaced[x] = 0
	:: else
	fi;
	pending[x] = (o == x -> fkind[x] != 0 : pending[x])
}

/* read_log is evidence E1: the VM reads the log to its end. If its evidence had lapsed, its stock is dropped. */
inline read_log(x) {
	d_step {
		!blind[x];
		stock[x] = (ev[x] > 0 -> stock[x] : 0);
		i = next[x];
		do
		:: i < end -> apply(x); i++
		:: else -> break
		od;
		next[x] = end;
		ev[x] = F;
		i = 0;
		o = 0
	}
}

#ifdef MUTANT_CHAIN
#define UNBROKEN(x) true
#else
#define UNBROKEN(x) (ev[x] > 0)
#endif

/* read_list is evidence E3: the log is unreachable and the VM list contains the VM. It extends a lease, but restores none. */
inline read_list(x) {
	d_step {
		!blind[x];
		shown[x] = listed[x];
		if
		:: listed[x] && UNBROKEN(x) ->
			stock[x] = (ev[x] > 0 -> stock[x] : 0);
			ev[x] = F
		:: else
		fi
	}
}

#ifdef MUTANT_VOUCH
#define VOUCHES(x, o) blind[o]
#else
#define VOUCHES(x, o) (blind[o] && !pending[o] && next[o] <= next[x])
#endif

/* ask_peers is evidence E4: the other holder can read neither log nor VM list, has nothing pending and has read nothing newer. */
inline ask_peers(x) {
	d_step {
		blind[x] && shown[x] && ev[x] > 0 && holder[x] != FREE && VOUCHES(x, 1 - x) -> ev[x] = F
	}
}

inline send(x, kind, e) {
	fkind[x] = kind;
	fepoch[x] = e;
	pending[x] = true
}

#ifdef LEASE_ONLY
#define MINT(x) skip
/* Only VM 0 leaves the VM list. */
#define FLIPS false
#else
#define FLIPS true
#define MINT(x) stock[x] = (stock[x] < CAP -> stock[x] + 1 : stock[x])
#endif

inline count(x) {
	if
	:: MINTS(x) ->
		n++;
		MINT(x)
	:: else
	fi;
	sum = sum + (MAYSPEND(x) -> stock[x] : 0)
}

inline pass(x) {
	ev[x] = (ev[x] > 0 -> ev[x] - 1 : 0);
	gone[x] = (listed[x] -> 0 : (gone[x] < W -> gone[x] + 1 : W));
	waited[x] = (holder[x] == x && displaced[x] != 0 && waited[x] < W -> waited[x] + 1 : waited[x])
}

inline tick() {
	d_step {
		n = 0;
		sum = 0;
		count(0);
		count(1);
		assert(n <= 1);
		assert(sum <= CAP);
		level = (level < CAP -> level + 1 : CAP);
		pass(0);
		pass(1);
		n = 0;
		sum = 0
	}
}

#ifdef MUTANT_LISTED
#define ABSENT(x) true
#else
/* The displaced holder has been absent from the VM list for W ticks. */
#define ABSENT(x) (gone[1 - (x)] >= W)
#endif

/* A VM may send a record if it can read the log and has read back its last record. */
#define MAYSEND(x) (!blind[x] && !pending[x] && ev[x] > 0 && end < MAXREC)

#ifdef MUTANT_CAP
#define ROOM(x) true
#else
#define ROOM(x) (stock[x] < CAP)
#endif

inline give_back(x) {
	d_step {
		refund == x + 1 ->
		if
		:: MINTS(x) && epoch[x] == rfepoch && ROOM(x) ->
			stock[x]++;
			level = (level < CAP -> level + 1 : CAP)
		:: else
		fi;
		refund = 0;
		rfepoch = 0
	}
}

/* land appends the record in transit. */
inline land(x) {
	d_step {
		fkind[x] != 0 && end < MAXREC ->
		rkind[end] = fkind[x];
		rvm[end] = x;
		repoch[end] = fepoch[x];
		end++;
		fkind[x] = 0;
		fepoch[x] = 0
	}
}

inline steps(x) {
	if
	:: read_log(x)
	:: land(x)
#ifdef LEASE_ONLY
	:: read_list(x)
	:: ask_peers(x)
	:: d_step { blind[x] = !blind[x] }
#endif
	/* Every reader of the VM list notices when a VM is listed again. */
	:: d_step { x == 0 || FLIPS -> listed[x] = !listed[x]; gone[x] = 0 }
	/* Claim of a free slot. */
	:: d_step { MAYSEND(x) && holder[x] == FREE -> send(x, CLAIM, epoch[x] + 1) }
	/* Takeover of a slot whose holder is absent from the VM list. */
	:: d_step { MAYSEND(x) && listed[x] && holder[x] == 1 - x && gone[1 - x] >= L -> send(x, CLAIM, epoch[x] + 1) }
	/* Renewal after the wait for displaced holders. */
	:: d_step { MAYSEND(x) && holder[x] == x && displaced[x] != 0 && waited[x] >= W && ABSENT(x) -> send(x, RENEW, epoch[x]) }
	/* A displaced VM announces that it no longer acts. */
	:: d_step { MAYSEND(x) && (displaced[x] & BIT(x)) != 0 -> send(x, RELEASE, epoch[x] - 1) }
	/* Release. The VM stops acting before it sends the record. */
	:: d_step { MAYSEND(x) && holder[x] == x && !releasing[x] ->
#ifndef MUTANT_RELEASE
		releasing[x] = true;
		stock[x] = 0;
#endif
		send(x, RELEASE, epoch[x]) }
#ifndef LEASE_ONLY
	:: give_back(x)
	/* Spend. */
	:: d_step { MAYSPEND(x) && stock[x] > 0 -> stock[x]--; level--; assert(level >= 0) }
	/* Spend a token that is returned later. */
	:: d_step { refund == 0 && MAYSPEND(x) && stock[x] > 0 ->
		stock[x]--; level--; assert(level >= 0); refund = x + 1; rfepoch = epoch[x] }
	/* Debit by a peer; the response is lost. */
	:: d_step { MAYSPEND(x) && stock[x] > 0 -> stock[x]-- }
#ifdef MUTANT_DEBIT
	/* Debit by a peer; a repeated request with the same ID gets the remembered response. */
	:: d_step { answered == 0 && MAYSPEND(x) && stock[x] > 0 ->
		stock[x]--; level--; assert(level >= 0); answered = x + 1 }
	:: d_step { answered == x + 1 -> answered = 0; level--; assert(level >= 0) }
#endif
#endif
	fi
}

init {
	d_step {
		v = 0;
		do
		:: v < NVM ->
			epoch[v] = 1;
			listed[v] = true;
			shown[v] = true;
			ev[v] = F;
			v++
		:: else -> break
		od;
		v = 0
	}
	do
	:: tick()
	:: steps(0)
	:: steps(1)
	od
}
