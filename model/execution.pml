/*
 * The execution contract: gateways, the guards that are homes of keys, and a
 * network that may lose, repeat, reorder and delay any message.
 *
 * A message is a flag that, once set, may be delivered any number of times or
 * never. This covers loss, duplication, reordering and delay. A process that
 * takes no step is paused. A guard that restarts loses its state and gets an
 * incarnation that was not used before.
 *
 * KEYED:    three requests for one operation, through any gateways, with one
 *           key bound to guard 0 in incarnation 0.
 * UNKEYED:  one request, sent to guard 1 once guard 0 is proved not to run it.
 *
 * Each faulty variant is enabled by a macro of its name; see check.sh.
 */

#ifdef KEYED
#define TICKETS 3
#define GUARDS 2
#else
#define TICKETS 2
#define GUARDS 2
#endif
#define INCARNATIONS 2

mtype = { NONE, GRANTED, RUNNING, ANSWERED, SEALED, DOUBT, FORGOTTEN };

/* The network: one flag for each message, set once it has been sent. */
bit reserve[TICKETS];
bit run_msg[TICKETS * INCARNATIONS];
bit release_[TICKETS];
bit settle[TICKETS * INCARNATIONS];
bit granted[TICKETS * INCARNATIONS];
/* A refusal carries the incarnation of the guard that sent it. */
bit not_run[TICKETS * INCARNATIONS];
bit may_have_run[TICKETS];
bit answer[TICKETS];

/* State of the guards: tickets, the record of the one key, incarnations. */
mtype ticket[TICKETS] = NONE;
mtype key[GUARDS] = NONE;
byte incarnation[GUARDS];

/* Executions so far, and whether a caller was told NotRun. */
byte runs;
bit claimed_not_run;

#ifdef KEYED
#if defined(HASH_LIVE)
/* Each gateway computes the home from its own view of live hosts. */
#define HOME(t) (t & 1)
#else
#define HOME(t) 0
#endif
#define KEY_INCARNATION 0
#else
#define HOME(t) t
#endif

#define MSG(t, i) ((t) * INCARNATIONS + (i))

inline execute(t) {
	ticket[t] = RUNNING;
#ifdef KEYED
	key[HOME(t)] = RUNNING;
#endif
	runs++;
	printf("guard %d runs ticket %d\n", HOME(t), t);
	assert(runs <= 1);
	assert(!claimed_not_run);
}

/* Ends a waiting ticket that has not run, so that it can never run. */
inline seal(t) {
	ticket[t] = SEALED;
#ifdef KEYED
	key[HOME(t)] = SEALED;
#endif
}

inline take_reserve(t, h) {
	if
	:: ticket[t] != NONE -> skip
	:: else ->
#ifdef KEYED
		if
#ifndef RESTART_FORGETS
#ifndef HASH_LIVE
		:: incarnation[h] != KEY_INCARNATION -> may_have_run[t] = 1; ticket[t] = DOUBT
#endif
#endif
		:: else ->
			if
			:: key[h] == NONE -> key[h] = GRANTED; ticket[t] = GRANTED;
				granted[MSG(t, incarnation[h])] = 1;
				printf("guard %d grants ticket %d\n", h, t)
			:: key[h] == NONE -> ticket[t] = SEALED; not_run[MSG(t, incarnation[h])] = 1;
				printf("guard %d refuses ticket %d\n", h, t);
#ifndef REFUSE_WITHOUT_SEAL
				key[h] = SEALED
#endif
			:: key[h] == SEALED -> not_run[MSG(t, incarnation[h])] = 1; ticket[t] = SEALED
			:: key[h] == ANSWERED -> answer[t] = 1; ticket[t] = ANSWERED
			:: key[h] == GRANTED || key[h] == RUNNING || key[h] == DOUBT ||
			   key[h] == FORGOTTEN -> may_have_run[t] = 1; ticket[t] = DOUBT
			fi
		fi
#else
		if
		:: ticket[t] = GRANTED; granted[MSG(t, incarnation[h])] = 1;
			printf("guard %d grants ticket %d\n", h, t)
		:: ticket[t] = SEALED; not_run[MSG(t, incarnation[h])] = 1
		fi
#endif
	fi
}

inline take_run(t, h, i) {
	if
	:: i != incarnation[h] -> may_have_run[t] = 1
	:: else ->
		if
		:: ticket[t] == GRANTED -> execute(t)
#ifdef LATE_RUN
		:: ticket[t] == SEALED -> execute(t)
#else
		:: ticket[t] == SEALED -> not_run[MSG(t, incarnation[h])] = 1
#endif
		:: else -> skip
		fi
	fi
}

inline take_settle(t, h, i) {
	if
	:: i != incarnation[h] -> may_have_run[t] = 1
	:: else ->
		if
#ifdef SETTLE_WITHOUT_SEAL
		:: ticket[t] == GRANTED -> not_run[MSG(t, incarnation[h])] = 1
#else
		:: ticket[t] == GRANTED -> seal(t); not_run[MSG(t, incarnation[h])] = 1
#endif
		:: ticket[t] == SEALED -> not_run[MSG(t, incarnation[h])] = 1
		:: ticket[t] == ANSWERED -> answer[t] = 1
		:: ticket[t] == DOUBT -> may_have_run[t] = 1
		:: else -> skip
		fi
	fi
}

proctype Guard(byte h) {
	byte t;
	do
	:: atomic { select(t : 0 .. TICKETS - 1);
		if
		:: HOME(t) == h && reserve[t] -> take_reserve(t, h)
		:: HOME(t) == h && run_msg[MSG(t, 0)] -> take_run(t, h, 0)
		:: HOME(t) == h && run_msg[MSG(t, 1)] -> take_run(t, h, 1)
		:: HOME(t) == h && settle[MSG(t, 0)] -> take_settle(t, h, 0)
		:: HOME(t) == h && settle[MSG(t, 1)] -> take_settle(t, h, 1)
		:: HOME(t) == h && release_[t] && ticket[t] == GRANTED -> seal(t)
		/* The grant expires. */
		:: HOME(t) == h && ticket[t] == GRANTED ->
			printf("guard %d lets the grant of ticket %d expire\n", h, t);
			seal(t); not_run[MSG(t, incarnation[h])] = 1
		/* The upstream responds, or its connection is lost. */
		:: HOME(t) == h && ticket[t] == RUNNING -> ticket[t] = ANSWERED; answer[t] = 1;
#ifdef KEYED
			key[h] = ANSWERED
#endif
		:: HOME(t) == h && ticket[t] == RUNNING -> ticket[t] = DOUBT; may_have_run[t] = 1;
#ifdef KEYED
			key[h] = DOUBT
#endif
		:: else -> skip
		fi; t = 0 }
#ifdef KEYED
	/* The record is evicted for newer ones; the horizon still covers its key. */
	:: atomic { key[h] == ANSWERED || key[h] == SEALED || key[h] == DOUBT ->
		printf("guard %d forgets the key\n", h);
#ifdef HORIZON_LOST
		key[h] = NONE
#else
		key[h] = FORGOTTEN
#endif
		}
#endif
	/* A restart that loses all state. */
	:: atomic { incarnation[h] + 1 < INCARNATIONS ->
		printf("guard %d restarts\n", h);
		incarnation[h]++; key[h] = NONE;
		t = 0;
		do
		:: t < TICKETS -> if :: HOME(t) == h -> ticket[t] = NONE :: else fi; t++
		:: else -> break
		od;
		t = 0 }
	od
}

#ifdef STALE_REFUSAL
#define PROVED(t, i) (not_run[MSG(t, 0)] || not_run[MSG(t, 1)])
#else
#define PROVED(t, i) not_run[MSG(t, i)]
#endif

inline claim_not_run() {
	claimed_not_run = 1;
	printf("a gateway says NotRun\n");
	assert(runs == 0)
}

/* One request of a caller through any gateway, from its first ticket on. */
proctype Ask(byte first) {
	byte t = first;
	byte i;
reserving:
	atomic { reserve[t] = 1; printf("ticket %d reserves\n", t) };
	if
	:: atomic { granted[MSG(t, 0)] -> i = 0; run_msg[MSG(t, 0)] = 1; goto running }
	:: atomic { granted[MSG(t, 1)] -> i = 1; run_msg[MSG(t, 1)] = 1; goto running }
	:: not_run[MSG(t, 0)] || not_run[MSG(t, 1)] -> goto proved
	:: may_have_run[t] -> goto done
	:: answer[t] -> goto done
	/* No reply in time: the reservation is released, but may still arrive. */
	:: release_[t] = 1;
#ifdef KEYED
#ifdef CLAIM_AFTER_RESERVE
		goto proved
#else
		goto done
#endif
#else
		goto proved
#endif
	fi;
running:
	if
	:: answer[t] -> goto done
	:: PROVED(t, i) -> goto proved
	:: may_have_run[t] -> goto done
	/* No response in time: send settle over a new connection, or give up. */
	:: settle[MSG(t, i)] = 1; goto settling
	:: atomic { printf("ticket %d hears nothing\n", t);
#ifdef RETRY_AFTER_SILENCE
		goto proved
#endif
#ifdef CLAIM_AFTER_SILENCE
		claim_not_run();
#endif
		goto done }
	fi;
settling:
	if
	:: answer[t] -> goto done
	:: PROVED(t, i) -> goto proved
	:: may_have_run[t] -> goto done
	:: goto done
	fi;
proved:
#ifdef KEYED
	atomic { claim_not_run() };
#else
	if
	:: t + 1 < TICKETS -> t++; i = 0; goto reserving
	:: else -> atomic { claim_not_run() }
	:: atomic { claim_not_run() }
	fi;
#endif
done:
	skip
}

init {
	atomic {
		run Guard(0);
		run Guard(1);
#ifdef KEYED
		run Ask(0);
		run Ask(1);
		run Ask(2)
#else
		run Ask(0)
#endif
	}
}
