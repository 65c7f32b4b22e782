/*
 * Head of the bundles: operators that race to accept, and processes that follow the head, ask each
 * other, and meet stale reads, lost answers, delayed writes and replayed messages. Each step that
 * is atomic here is one call of the object service or one message. A bundle is stood for by the
 * nonce of the try that accepts it.
 *
 * Properties: a generation has one winner, and whoever is told that it won or lost did so for good;
 * the generation in force in a process only goes up; what is in force was accepted under its
 * generation.
 *
 * Faults, each of which must break one of them:
 *   UNCONDITIONAL   the head is written whatever it is
 *   LOST_AS_FAILED  a write without an answer counts as failed
 *   NO_HISTORY      the head lists no earlier generations, and another's nonce there counts as loss
 *   STALE_AS_LOST   a read from before the own write counts as proof that it took no effect
 *   VIEW_DOWN       a process takes in whatever it reads or is told last
 *   PEER_UNCHECKED  a process believes a peer's generation without the head that names the bundle
 */

#ifndef OPERATORS
#define OPERATORS 2
#endif
#ifndef TRIES
#define TRIES 1
#endif
#ifndef FOLLOWERS
#define FOLLOWERS 2
#endif

#define NONCES (OPERATORS * TRIES)

/* Head: its generation, and the nonce that accepted each generation so far. */
byte gen = 0;
byte owner[NONCES + 1];

/* What each try was told: its generation, or that it lost. */
byte winner[NONCES + 1];
bool lost[NONCES + 1];

/* Writes on their way whose senders wait no longer; the expected generation plus one. */
byte late[NONCES + 1];

/* In force in each process, and what was ever shown to a peer for a generation. */
byte force[FOLLOWERS];
byte bundle[FOLLOWERS];
byte shown[NONCES + 1];

/* Operators that are done. */
byte done = 0;

/* A write of the head for generation base + 1 arrives at the service. */
inline arrive(nonce, base, applied) {
	if
#ifndef UNCONDITIONAL
	:: gen != base -> applied = false
	:: gen == base ->
#else
	:: true ->
#endif
		gen = base + 1;
		owner[gen] = nonce;
		applied = true;
		assert(!lost[nonce])
	fi
}

inline tell_won(nonce, g) {
	assert(winner[g] == 0);
	assert(owner[g] == nonce);
	winner[g] = nonce
}

inline tell_lost(nonce, g) {
	assert(owner[g] != nonce);
	assert(late[nonce] == 0 || gen >= late[nonce]);
	lost[nonce] = true
}

proctype Operator(byte me) {
	byte try = 0;
	byte nonce;
	byte base;
	byte seen;
	bool applied;

	do
	:: try < TRIES ->
		nonce = me * TRIES + try + 1;
		/* The first read may be stale. */
		atomic { select(base : 0 .. gen) };
write:
		atomic {
			if
			:: arrive(nonce, base, applied);
				if
				:: applied -> tell_won(nonce, base + 1); goto settled
				:: !applied -> goto settle
				:: goto unanswered
				fi
			:: late[nonce] = base + 1; goto unanswered
			fi
		};
unanswered:
#ifdef LOST_AS_FAILED
		atomic { tell_lost(nonce, base + 1); goto settled };
#else
		skip;
#endif
settle:
		atomic {
			/* Reads what the head is, or what it was at any time before. */
			select(seen : 0 .. gen);
			if
			:: seen == base -> goto write
			:: seen < base -> goto settle
#ifdef STALE_AS_LOST
			:: seen <= base -> tell_lost(nonce, base + 1)
#endif
#ifdef NO_HISTORY
			:: seen > base && owner[seen] == nonce -> tell_won(nonce, base + 1)
			:: seen > base && owner[seen] != nonce -> tell_lost(nonce, base + 1)
#else
			:: seen > base && owner[base + 1] == nonce -> tell_won(nonce, base + 1)
			:: seen > base && owner[base + 1] != nonce -> tell_lost(nonce, base + 1)
#endif
			fi
		};
settled:
		atomic { try++; base = 0; seen = 0; applied = false }
	:: try == TRIES -> break
	od;
	done++
}

/* Delivers or drops what is on its way. */
proctype Network() {
	byte nonce;
	bool applied;

	do
	:: atomic {
		select(nonce : 1 .. NONCES);
		if
		:: late[nonce] != 0 ->
			arrive(nonce, late[nonce] - 1, applied);
			late[nonce] = 0
		:: late[nonce] != 0 -> late[nonce] = 0
		:: else -> skip
		fi;
		nonce = 0;
		applied = false
	}
	:: atomic { done == OPERATORS -> break }
	od
}

/* A process gets a head and the bundle that it names. */
inline take_in(me, g, b) {
	if
#ifdef VIEW_DOWN
	:: true ->
#else
	:: g <= force[me] -> skip
	:: g > force[me] ->
#endif
		assert(g >= force[me]);
		assert(owner[g] == b);
		force[me] = g;
		bundle[me] = b;
		shown[g] = b
	fi
}

proctype Follower(byte me) {
	byte g;
	byte peer;

end:
	do
	:: atomic {
		/* Reads or watches the head, perhaps from a stale copy. */
		gen > 0;
		select(g : 1 .. gen);
		take_in(me, g, owner[g]);
		g = 0
	}
	:: atomic {
		/* Hears from a peer, perhaps by a message that was sent long ago. */
		gen > 0;
		select(g : 1 .. gen);
		if
		:: shown[g] != 0 -> take_in(me, g, shown[g])
		:: else -> skip
		fi;
		g = 0
	}
#ifdef PEER_UNCHECKED
	:: atomic {
		/* The peer has heard of a generation, and shows the bundle that it has. */
		gen > 0;
		select(peer : 0 .. FOLLOWERS - 1);
		if
		:: bundle[peer] != 0 -> take_in(me, gen, bundle[peer])
		:: else -> skip
		fi;
		peer = 0
	}
#endif
	od
}

init {
	byte i;

	atomic {
		for (i : 0 .. OPERATORS - 1) {
			run Operator(i)
		};
		for (i : 0 .. FOLLOWERS - 1) {
			run Follower(i)
		};
		run Network()
	}
}
