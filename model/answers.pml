/*
 * A response is delivered only to the request that it belongs to: one request
 * each of two gateways, and responses that the network delivers late, twice or
 * on the wrong connection.
 */

byte delivered[2];
bit answered[2];
bit waiting[2];

/* A response carries the ticket of its request. */
proctype Guard(byte t) {
	answered[t] = 1
}

proctype Gateway(byte t) {
	byte from;
	waiting[t] = 1;
	do
	:: atomic { answered[0] && waiting[t] -> from = 0 }; goto check
	:: atomic { answered[1] && waiting[t] -> from = 1 }; goto check
	/* The deadline passes. */
	:: waiting[t] -> waiting[t] = 0; break
check:
#ifdef NO_TICKET_CHECK
		atomic { printf("gateway %d delivers answer %d\n", t, from);
			assert(from == t); delivered[t]++; waiting[t] = 0 }; break
#else
		if
		:: from == t -> atomic { assert(delivered[t] == 0); delivered[t]++; waiting[t] = 0 }; break
		:: else -> skip
		fi
#endif
	od
}

init {
	atomic { run Guard(0); run Guard(1); run Gateway(0); run Gateway(1) }
}
