/*
 * Knowledge of the store that is passed on with its age: readers of the store, and processes that
 * ask a reader or each other. Time goes on between any two steps, for as long as it likes: a step
 * can stand for a call, an answer that waits, a message on its way or a pause of its process.
 *
 * A key is taken away at some moment. Property: no process honours it when more than LIMIT has
 * passed since, whatever it was told, by whom, and how late.
 *
 * Faults, each of which must break it:
 *   FROM_ANSWER     a reader counts the age from the store's answer and not from its own call
 *   NO_AGE          what is passed on counts as read when it was asked for
 *   FROM_ARRIVAL    the asking process counts from the answer's arrival and not from its question
 *   TOLD_FIRST      the age in an answer is that of the question's arrival, what is told later
 *   OWN_CLOCK       a process's clock stands still while it is suspended
 *   LAST_TOLD       a process takes what it hears last for what it knows, and keeps the best age
 */

#ifndef END
#define END 4
#endif
#ifndef LIMIT
#define LIMIT 1
#endif
#ifndef READERS
#define READERS 1
#endif
#ifndef ASKING
#define ASKING 2
#endif

#ifndef READS
#define READS 2
#endif
#ifndef ASKS
#define ASKS 2
#endif

#define ALL (READERS + ASKING)

byte now = 1;
byte revoked = 0;

/* What each process knows: 1 before its key was taken away, 2 after; 0 nothing. */
byte knows[ALL];
/* The moment for which it holds, on the process's own clock. */
byte moment[ALL];
/* Time for which its clock stood still. */
byte stood[ALL];

#define clock(i) (now - stood[i])
#define minus(a, b) ((a) > (b) -> (a) - (b) : 0)

inline learn(i, value, at) {
#ifdef LAST_TOLD
	knows[i] = value;
#else
	if
	:: value > knows[i] -> knows[i] = value
	:: else
	fi;
#endif
	if
	:: at > moment[i] -> moment[i] = at
	:: else
	fi
}

active proctype time() {
	do
	:: atomic { now < END -> now++ }
	:: now == END -> break
	od
}

active proctype operator() {
	atomic { revoked = now }
}

#ifdef OWN_CLOCK
active proctype suspension() {
	byte i;
	select (i : 0 .. ALL - 1);
	do
	:: atomic { now < END -> now++; stood[i]++ }
	:: break
	od
}
#endif

proctype reader(byte i) {
	byte asked, value, round;
	do
	:: round < READS ->
		round++;
		asked = clock(i);
		/* The store answers as of one moment between call and answer. */
		atomic { value = (revoked -> 2 : 1) };
#ifdef FROM_ANSWER
		atomic { asked = clock(i); learn(i, value, asked) };
#else
		atomic { learn(i, value, asked) };
#endif
		value = 0;
		asked = 0
	:: round == READS -> break
	od
}

proctype asking(byte i) {
	byte asked, arrived, age, value, whom, round;
	do
	:: round < ASKS ->
		round++;
		select (whom : 0 .. ALL - 1);
		if
		:: whom == i -> whom = 0
		:: else
		fi;
		asked = clock(i);
		arrived = clock(whom);
		/* The answer waits for something to tell. */
#ifdef TOLD_FIRST
		age = minus(arrived, moment[whom]);
		atomic {
			value = knows[whom];
			age = minus(age, minus(clock(whom), arrived))
		};
#else
		atomic {
			value = knows[whom];
			age = minus(minus(clock(whom), moment[whom]), minus(clock(whom), arrived))
		};
#endif
#ifdef NO_AGE
		age = 0;
#endif
		if
		:: value ->
#ifdef FROM_ARRIVAL
			atomic { asked = clock(i); asked = minus(asked, age); learn(i, value, asked) }
#else
			atomic { asked = minus(asked, age); learn(i, value, asked) }
#endif
		:: else
		fi;
		asked = 0;
		arrived = 0;
		age = 0;
		value = 0;
		whom = 0
	:: round == ASKS -> break
	od
}

/* A caller with the key comes at any moment. */
active proctype caller() {
	byte i;
	select (i : 0 .. ALL - 1);
	atomic {
		if
		:: knows[i] == 1 && clock(i) - moment[i] <= LIMIT ->
			assert(!revoked || now - revoked <= LIMIT)
		:: else
		fi
	}
}

init {
	byte i = 0;
	atomic {
		do
		:: i < READERS -> run reader(i); i++
		:: i >= READERS && i < ALL -> run asking(i); i++
		:: i == ALL -> break
		od
	}
}
