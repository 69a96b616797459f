// Model of at most one send per idempotency key (pkg/once).
//
// There is one key and several attempts, each a request in one incarnation of some VM. Attempts may begin at any time, so
// they are first requests at several VMs at once or repeats. Two attempts may belong to one VM. An append is in flight
// until the log accepts it, at any later time or never, possibly after its sender has ended. The log may also accept a
// copy of an intent, because an append is repeated if its reply was lost. No VM uses the reply of an append: its view is
// a function of the log up to some position. In the model it may decide at any position at any time, which covers VMs
// that read late. A crash loses everything except the log and the appends in flight.
//
// bounds: 1 key, 3 attempts (first requests or repeats, on 1 to 3 VMs), one intent landing up to twice, log of 7 records (all that can land)
// mutants: FOREIGN_VOID NO_READ_BACK SEND_AFTER_GIVE_UP RERUN_UNKNOWN LATE_WINS UNKNOWN_AS_NOT_RUN

#ifndef LOG
#define LOG 7
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif

// Kinds of records. A record is KINDS * attempt + kind.
#define INTENT 0
#define RESULT 1
#define VOID 2
#define KINDS 3
#define REC(a, k) (KINDS * (a) + (k))
#define NONE 15

// States of an attempt.
#define IDLE 0
#define PENDING 1
#define SELECTED 2 /* may send, no byte written yet */
#define RUNNING 3 /* sent */
#define ABANDONED 4
#define DONE 5
#define GONE 6 /* process crashed */

byte log[LOG];
byte end = 0;
bool inFlight[KINDS * ATTEMPTS];
bool copied = false; /* the first copy of the intent of attempt 0 was accepted */
byte state[ATTEMPTS];
byte ran = NONE; /* the attempt that sent the request */
bool notRun[ATTEMPTS]; /* the attempt was refused as not run */

byte p = 0; /* position up to which the log was read; 0 between the steps */

// View of the log below position p, used within one d_step only.
hidden byte i;
hidden byte j;
hidden byte winner;
hidden byte finished;
hidden byte own;

// view sets winner to the first intent that is not void, finished to the attempt with a result, and own to whether the
// intent of attempt a was read.
inline view(a) {
	winner = NONE;
	finished = NONE;
	own = 0;
	i = 0;
	do
	:: i < p ->
		if
		:: log[i] == REC(a, INTENT) -> own = 1
		:: else
		fi;
		if
		:: log[i] % KINDS == RESULT && finished == NONE -> finished = log[i] / KINDS
		:: log[i] % KINDS == INTENT && winner == NONE ->
			winner = log[i] / KINDS;
			/* A void record anywhere in the part that was read counts, even before its intent. */
			j = 0;
			do
			:: j < p && winner != NONE ->
				if
				:: log[j] == REC(winner, VOID) -> winner = NONE
				:: else
				fi;
				j++
			:: else -> break
			od
		:: else
		fi;
		i++
	:: else -> break
	od
}

// read chooses the position up to which the log was read.
inline read() {
	p = 0;
	do
	:: p < end -> p++
	:: break
	od
}

inline abandon(a) {
	state[a] = ABANDONED;
	inFlight[REC(a, VOID)] = true
}

proctype Attempt(byte a) {
endattempt:
	do
	/* Attempts are interchangeable, so they begin in the order of their numbers. */
	:: atomic { state[a] == IDLE && (a == 0 || state[a - 1] != IDLE) ->
		d_step {
			state[a] = PENDING;
			inFlight[REC(a, INTENT)] = true
		} }

	/* Decide. */
	:: atomic { state[a] == PENDING -> read(); d_step {
		view(a);
		if
		:: finished != NONE ->
			/* The recorded result is the response. */
			assert(finished == ran);
			abandon(a)
#ifdef MUTANT_NO_READ_BACK
		:: finished == NONE && winner == NONE -> state[a] = SELECTED
#endif
#ifdef MUTANT_LATE_WINS
		:: finished == NONE && own && winner != a -> state[a] = SELECTED
#endif
		:: finished == NONE && own && winner == a -> state[a] = SELECTED
#ifndef MUTANT_LATE_WINS
		:: finished == NONE && own && winner != a && winner != NONE && state[winner] == GONE ->
			/* The process of the winning attempt is gone: the outcome is unknown and is reported as such. */
#ifdef MUTANT_RERUN_UNKNOWN
			state[a] = SELECTED
#else
#ifdef MUTANT_UNKNOWN_AS_NOT_RUN
			assert(ran != winner);
#endif
			abandon(a)
#endif
#ifdef MUTANT_FOREIGN_VOID
		:: finished == NONE && own && winner != a && winner != NONE && state[winner] != GONE ->
			inFlight[REC(winner, VOID)] = true
#endif
#endif
		:: else
		fi;
		p = 0
		} }

	/* Give up because the caller left, the deadline passed or the log is slow. The refusal reports not run, unless another
	   intent of the key was read. */
	:: atomic { state[a] == PENDING -> read(); d_step {
		view(a);
		if
		:: finished == NONE ->
			if
			:: winner == NONE || winner == a -> notRun[a] = true
			:: else
			fi;
			abandon(a)
		:: else
		fi;
		p = 0
		} }
#ifdef MUTANT_SEND_AFTER_GIVE_UP
	:: atomic { state[a] == ABANDONED -> read(); d_step {
		view(a);
		if
		:: finished == NONE && own && winner == a -> state[a] = SELECTED
		:: else
		fi;
		p = 0
		} }
#endif

	/* Send, or give up before the first byte. */
	:: atomic { state[a] == SELECTED -> d_step {
		assert(ran == NONE);
		assert(!notRun[a]);
		ran = a;
		state[a] = RUNNING
		} }
	:: atomic { state[a] == SELECTED -> d_step {
		notRun[a] = true;
		abandon(a)
		} }

	/* The response arrives. */
	:: atomic { state[a] == RUNNING -> d_step {
		state[a] = DONE;
		inFlight[REC(a, RESULT)] = true
		} }

	/* Crash. */
	:: atomic { state[a] != IDLE && state[a] != GONE -> d_step { state[a] = GONE; notRun[a] = false } }
	od
}

inline take(r) {
	log[end] = r;
	end++;
	if
	:: r == REC(0, INTENT) && !copied -> copied = true
	:: else -> inFlight[r] = false
	fi
}

// Log accepts the appends in flight, in any order and at any time.
proctype Log() {
endlog:
	do
	:: atomic { end < LOG && inFlight[0] -> d_step { take(0) } }
	:: atomic { end < LOG && inFlight[1] -> d_step { take(1) } }
	:: atomic { end < LOG && inFlight[2] -> d_step { take(2) } }
	:: atomic { end < LOG && inFlight[3] -> d_step { take(3) } }
	:: atomic { end < LOG && inFlight[4] -> d_step { take(4) } }
	:: atomic { end < LOG && inFlight[5] -> d_step { take(5) } }
	:: atomic { end < LOG && inFlight[6] -> d_step { take(6) } }
	:: atomic { end < LOG && inFlight[7] -> d_step { take(7) } }
	:: atomic { end < LOG && inFlight[8] -> d_step { take(8) } }
	od
}

init {
	atomic {
		run Log();
		run Attempt(0);
		run Attempt(1);
		run Attempt(2)
	}
}
