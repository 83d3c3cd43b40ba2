/*
 * The revision that a daemon serves with never decreases: a platform whose
 * replicas lag, daemons that read it and notify each other, restarts that lose
 * all state, a value that fails validation, and two concurrent operators.
 */

#define DAEMONS 2
#define LAST 3
#define INVALID 2

byte published;
byte in_force[DAEMONS];
bit serving[DAEMONS];
byte restarts;
/* Revisions ever sent to a daemon; messages may arrive late or repeatedly. */
bit told[DAEMONS * (LAST + 1)];
/* The highest revision that a daemon served with since its start. */
byte served[DAEMONS];

inline offer(d, r) {
	if
#ifdef ACCEPT_INVALID
	:: r > in_force[d] -> in_force[d] = r
#else
#ifdef ACCEPT_LOWER
	:: r != INVALID && r > 0 -> in_force[d] = r
#else
	:: r != INVALID && r > in_force[d] -> in_force[d] = r
#endif
#endif
	:: else -> skip
	fi;
	if
	:: serving[d] -> printf("daemon %d serves with revision %d\n", d, in_force[d]);
		assert(in_force[d] >= served[d]); served[d] = in_force[d]
	:: else -> skip
	fi;
	assert(in_force[d] != INVALID)
}

proctype Operator() {
	do
	:: atomic { published < LAST -> published++ }
	:: else -> break
	od
}

proctype Daemon(byte d) {
	byte r;
	byte peer = 1 - d;
	byte floor;
	do
	/* Reads a replica that may lag. */
	:: atomic { select(r : 0 .. LAST);
		if :: r <= published -> offer(d, r) :: else -> skip fi; r = 0 }
	/* Receives a revision from its peer, possibly late or repeatedly. */
	:: atomic { select(r : 0 .. LAST);
		if :: told[d * (LAST + 1) + r] -> offer(d, r) :: else -> skip fi; r = 0 }
	/* Sends the revision in force to its peer. */
	:: atomic { serving[d] -> told[peer * (LAST + 1) + in_force[d]] = 1 }
	/* Starts to serve after reading the platform and a peer that serves. */
	:: atomic { !serving[d] && in_force[d] > 0 ->
		floor = in_force[peer];
#ifndef SERVE_AT_ONCE
		if
		:: serving[peer] -> offer(d, in_force[peer])
		:: else -> skip
		fi;
#endif
		if
		:: serving[peer] && in_force[d] < floor ->
			printf("daemon %d serves %d while its peer has %d\n", d, in_force[d], floor);
			assert(false)
		:: else -> skip
		fi;
		floor = 0;
		serving[d] = 1; served[d] = in_force[d] }
	/* Restarts and loses all state. */
	:: atomic { restarts < 2 && serving[d] -> restarts++;
		printf("daemon %d restarts\n", d);
		in_force[d] = 0; serving[d] = 0; served[d] = 0 }
	od
}

init {
	atomic { run Operator(); run Operator(); run Daemon(0); run Daemon(1) }
}
