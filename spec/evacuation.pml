/*
 * Evacuation of a data centre, told to gateways by the store or by each other, over restarts.
 *
 * The store's entry is written, taken back and written again; each change has a higher version. A gateway that
 * runs hears of the store at least once in PERIOD, from it or from another gateway whose knowledge is no older
 * than AGE. A gateway may die and start again at any moment, and knows nothing then.
 *
 * Property: nothing is sent to the data centre later than PERIOD + AGE after the evacuation was acknowledged, as
 * long as it is not taken back.
 *
 * Faults, each of which must break it:
 *   SERVES_EARLY   a gateway sends before it has heard anything
 *   LAST_TOLD      a gateway takes what it hears last for what it knows, whatever its version
 *   NO_AGE         knowledge of any age is taken from others
 *   YOUNG_AGAIN    what is passed on counts as read when it was asked for
 */

#ifndef END
#define END 5
#endif
#ifndef PERIOD
#define PERIOD 1
#endif
#ifndef AGE
#define AGE 1
#endif
#ifndef GATEWAYS
#define GATEWAYS 2
#endif
#ifndef STARTS
#define STARTS 1
#endif

#define EVACUATED(version) ((version) == 2 || (version) == 4)

byte now = 1;
/* Version of the store: 1 before all, 2 evacuated, 3 taken back, 4 evacuated again. */
byte store = 1;
/* When the evacuation in force was acknowledged. */
byte since = 0;

/* Version that each gateway knows, 0 for nothing. */
byte knows[GATEWAYS];
/* The moment for which its knowledge holds. */
byte moment[GATEWAYS];
/* When it last heard of the store. */
byte heard[GATEWAYS];
bool runs[GATEWAYS];
byte starts = 0;

inline learn(i, version, at) {
#ifdef LAST_TOLD
	knows[i] = version;
#else
	if
	:: version > knows[i] -> knows[i] = version
	:: else
	fi;
#endif
	if
	:: at > moment[i] -> moment[i] = at
	:: else
	fi;
	heard[i] = now
}

/* A gateway that is in touch hears within PERIOD; one that has just started knows nothing and waits. */
#define in_time(i) (!runs[i] || knows[i] == 0 || now - heard[i] < PERIOD)

active proctype time() {
	do
	:: atomic { now < END && in_time(0) && in_time(1) -> now++ }
	:: now == END -> break
	od
}

active proctype operator() {
	do
	:: atomic { store < 4 -> store++; since = now }
	:: break
	od
}

active proctype power() {
	byte i;
	do
	:: atomic {
		starts < STARTS ->
		starts++;
		select (i : 0 .. GATEWAYS - 1);
		knows[i] = 0;
		moment[i] = 0;
		heard[i] = now;
		i = 0
	   }
	:: break
	od
}

inline send(i) {
	if
#ifdef SERVES_EARLY
	:: !EVACUATED(knows[i]) ->
#else
	:: knows[i] && !EVACUATED(knows[i]) ->
#endif
		assert(!(EVACUATED(store) && now > since + PERIOD + AGE))
	:: else
	fi
}

proctype gateway(byte i) {
	byte other, at, version;
	do
	/* From the store. */
	:: atomic { now < END -> version = store; at = now; learn(i, version, at); version = 0; at = 0 }
	/* From another gateway. */
	:: atomic {
		now < END ->
		other = 1 - i;
		version = knows[other];
		at = moment[other];
		if
#ifdef NO_AGE
		:: version ->
#else
		:: version && now - at <= AGE ->
#endif
#ifdef YOUNG_AGAIN
			at = now;
#endif
			learn(i, version, at)
		:: else
		fi;
		other = 0;
		version = 0;
		at = 0
	   }
	:: atomic { now < END -> send(i) }
	:: now == END -> break
	od
}

init {
	atomic {
		runs[0] = true;
		runs[1] = true;
		run gateway(0);
		run gateway(1)
	}
}
