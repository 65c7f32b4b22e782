/*
 * Claim log of one shard with one key: owners that take the shard over from one another, may pause
 * at any point (by interleaving), lose the answers of writes, and delete what a snapshot
 * supersedes. Each step that is atomic here is one call of the object service.
 *
 * Property: at most one request runs under the key.
 *
 * Faults, each of which must break it:
 *   NO_SEAL         takeover raises the epoch and replays, but seals nothing
 *   SEAL_SWEPT      a seal is deleted together with the segments before it
 *   GRANT_EARLY     a grant is answered before its append
 *   LOST_AS_FAILED  an append without an answer counts as failed
 *   SEAL_ANYWHERE   a seal counts as the end of its epoch although segments come after it
 */

#ifndef OWNERS
#define OWNERS 3
#endif
#ifndef EPOCHS
#define EPOCHS 3
#endif
#ifndef SLOTS
#define SLOTS 4
#endif
#ifndef REQUESTS
#define REQUESTS 3 /* At most three. */
#endif

/* What a slot of the log holds; a grant is the number of its request. */
#define FREE 0
#define SNAP 4 /* Plus the request that holds the key, or none. */
#define REL 8
#define SEAL 9

#ifdef SEAL_ANYWHERE
#define AFTER_SEAL skip
#else
#define AFTER_SEAL sealed = false
#endif

typedef Segments {
	byte slot[SLOTS];
};

Segments epochs[EPOCHS + 1];

/* Head: epoch in force, first epoch that is still needed. */
byte epoch = 0;
byte base = 1;

/* A request ran, or gave up and never will run. */
bool ran[4];
bool gone[4];

/* Writes on their way whose senders wait no longer, one an owner. */
byte late_epoch[OWNERS];
byte late_slot[OWNERS];
byte late_value[OWNERS];

inline run_request(r) {
	if
	:: !gone[r] ->
		ran[r] = true;
		assert(ran[1] + ran[2] + ran[3] <= 1)
	:: else
	fi
}

/*
 * Reads all segments of an epoch: the key's holder, the next free slot, whether it is sealed.
 *
 * A seal counts only as the last segment. A taker that was paused after its listing may seal a
 * slot that the owner has written and, after a later snapshot, deleted since; the owner goes on
 * behind that seal.
 */
inline list(k) {
	i = 0;
	next = 0;
	sealed = false;
	do
	:: i < SLOTS ->
		if
		:: epochs[k].slot[i] == FREE
		:: epochs[k].slot[i] == SEAL -> sealed = true; next = i + 1
		:: epochs[k].slot[i] == REL -> table = 0; next = i + 1; AFTER_SEAL
		:: epochs[k].slot[i] >= SNAP && epochs[k].slot[i] < REL ->
			table = epochs[k].slot[i] - SNAP;
			next = i + 1;
			AFTER_SEAL
		:: epochs[k].slot[i] > FREE && epochs[k].slot[i] < SNAP ->
			table = epochs[k].slot[i];
			next = i + 1;
			AFTER_SEAL
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* Deletes the segments of an epoch below a slot, but not its seal, one call each. */
inline sweep(k, end) {
	i = 0;
	do
	:: i < end ->
		atomic {
#ifdef SEAL_SWEPT
			epochs[k].slot[i] = FREE;
#else
			if
			:: epochs[k].slot[i] != SEAL -> epochs[k].slot[i] = FREE
			:: else
			fi;
#endif
			i++
		}
	:: else -> break
	od;
	i = 0
}

proctype Owner(byte me) {
	byte mine;   /* Epoch of this owner. */
	byte first;  /* Base when it was read. */
	byte k;
	byte i;
	byte next;   /* Next slot of the epoch that is read, then of this owner's. */
	byte table;  /* Request that holds the key, or none. */
	byte before; /* Table before the epoch that is read. */
	byte value;  /* What is appended. */
	bool sealed;

follow:
	atomic {
		mine = 0; first = 0; k = 0; i = 0; next = 0; table = 0; before = 0; value = 0;
		sealed = false
	};
	end_follow: atomic { epoch < EPOCHS -> mine = epoch + 1; first = base };

	/* Raises the epoch by conditional update; its lost answer is settled by reading the head. */
	atomic {
		if
		:: epoch + 1 == mine -> epoch = mine
		:: else -> goto follow
		fi
	};

	/* Seals and replays the older epochs. */
	k = first;
	do
	:: k < mine ->
		before = table;
		atomic { list(k) };
		if
		:: sealed -> k++
#ifdef NO_SEAL
		:: !sealed -> k++
#else
		:: !sealed && next < SLOTS ->
			/* Whatever the answer, look again: only a listing with its seal is whole. */
			atomic {
				if
				:: epochs[k].slot[next] == FREE -> epochs[k].slot[next] = SEAL
				:: else
				fi;
				table = before
			}
		:: !sealed && next == SLOTS -> goto follow /* Beyond the bounds of the model. */
#endif
		fi
	:: else -> break
	od;

	/* The first snapshot, before any grant. */
	next = 0;
	value = SNAP + table;
	goto put;

owner:
	/* The last slot is left for the seal. */
	if
	:: goto follow /* Crashes, or restarts at its address. */
	:: next < SLOTS - 1 && table == 0 ->
		if
		:: !gone[1] && !ran[1] -> value = 1
		:: !gone[2] && !ran[2] -> value = 2
#if REQUESTS > 2
		:: !gone[3] && !ran[3] -> value = 3
#endif
		:: else -> goto follow
		fi;
#ifdef GRANT_EARLY
		atomic { run_request(value) };
#endif
		goto put
	:: table != 0 && !ran[table] ->
		/* Its holder asks again, or gives up. */
		if
		:: atomic { run_request(table) }
		:: atomic { !ran[table] -> gone[table] = true }
		fi;
		goto owner
	:: next < SLOTS - 1 && table != 0 && gone[table] -> value = REL; goto put
	:: next < SLOTS - 1 -> value = SNAP + table; goto put
	fi;

put:
	/* One append by create-if-absent. */
	if
	:: atomic { epochs[mine].slot[next] == FREE -> epochs[mine].slot[next] = value };
		goto durable
	:: atomic { epochs[mine].slot[next] == FREE -> epochs[mine].slot[next] = value };
		goto unanswered
	:: atomic { late_value[me] == FREE && epochs[mine].slot[next] == FREE ->
			late_value[me] = value;
			late_epoch[me] = mine;
			late_slot[me] = next
		};
		goto unanswered
	:: atomic { epochs[mine].slot[next] == value }; goto durable
	:: atomic { epochs[mine].slot[next] == SEAL }; goto follow
#ifdef LOST_AS_FAILED
	:: atomic {
			epochs[mine].slot[next] != FREE && epochs[mine].slot[next] != SEAL &&
			epochs[mine].slot[next] != value
		};
		if
		:: next < SLOTS - 1 -> next++; goto put
		:: else -> goto follow
		fi
#endif
	fi;

unanswered:
#ifdef LOST_AS_FAILED
	if
	:: value < SNAP ->
		atomic {
			if
			:: !ran[value] -> gone[value] = true
			:: else
			fi
		};
		goto owner
	:: else -> goto put
	fi;
#else
	/* The caller may give up meanwhile; it is told "not run", as only its entry could run it. */
	if
	:: atomic { value < SNAP && !ran[value] -> gone[value] = true }
	:: true
	fi;
	goto put;
#endif

durable:
	next++;
	if
	:: value < SNAP ->
		table = value;
		atomic { run_request(table) }
	:: value == REL -> table = 0
	:: value >= SNAP && value < REL ->
		/* What the snapshot supersedes goes, first here, then in the older epochs. */
		k = first;
		do
		:: k < mine -> sweep(k, SLOTS); k++
		:: else -> break
		od;
		sweep(mine, next - 1);
		atomic {
			if
			:: epoch == mine -> base = mine
			:: else
			fi;
			first = mine;
			k = 0
		}
	fi;
	value = 0;
	goto owner
}

inline deliver(i) {
	if
	:: epochs[late_epoch[i]].slot[late_slot[i]] == FREE ->
		epochs[late_epoch[i]].slot[late_slot[i]] = late_value[i]
	:: else
	fi;
	late_value[i] = FREE;
	late_epoch[i] = 0;
	late_slot[i] = 0;
	i = 0
}

/* Lets late writes take effect at any time. */
proctype Network() {
	byte i;
end:
	do
	:: atomic { late_value[0] != FREE -> i = 0; deliver(i) }
#if OWNERS > 1
	:: atomic { late_value[1] != FREE -> i = 1; deliver(i) }
#endif
#if OWNERS > 2
	:: atomic { late_value[2] != FREE -> i = 2; deliver(i) }
#endif
	od
}

init {
	atomic {
		run Owner(0);
#if OWNERS > 1
		run Owner(1);
#endif
#if OWNERS > 2
		run Owner(2);
#endif
		run Network()
	}
}
