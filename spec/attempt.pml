/*
 * One attempt between a sender and the agents that follow each other at one address.
 *
 * The sender opens sessions of a lane, each over a connection of its own, and gives one up at any
 * time. Frames of a connection that was given up stay under way and may arrive at any later time,
 * even at an agent that has taken the place of the one that they were sent to. Frames of one
 * connection are handled in any order.
 *
 * The sender runs the request again elsewhere as soon as it is told "not run". The assertion is
 * that the request executes at most once in all, at any time, whatever arrives later.
 *
 * Seeded faults:
 *   NO_FENCE        the agent executes a call over an older session
 *   NAIVE_QUERY     the agent says "not run" of whatever it does not know, for any incarnation
 *   NO_MEMORY       the agent trusts a lane that it has met anew for attempts of older sessions
 *   LOWER_BOUND     the agent remembers only the first session that it knows wholly
 *   FORGETFUL       the agent forgets a result without noting that its session is no longer whole
 *   FENCED_AS_PROOF the agent answers a question over an older session with "not run"
 *   QUERY_SAME      the sender asks over the session that carried the attempt
 * Rules that are left out without harm, as the others cover them:
 *   EAGER           the sender does not wait for the answer to hello
 *   NO_INCARNATION  the agent does not compare the incarnation of a query
 */

#ifndef SESSIONS
#define SESSIONS 3
#endif
#ifndef LIVES
#define LIVES 2
#endif

/* The most frames that a session can hold: hello, call and query. */
#define FRAMES 3

mtype = { HELLO, CALL, QUERY, GREETED, KNOWN, NOT_RUN, MAY_HAVE_RUN, NOTHING };

typedef Session {
	chan up = [FRAMES] of { mtype, byte, byte };	/* kind, incarnation, session of the attempt */
	chan down = [FRAMES] of { mtype, byte };	/* kind, incarnation */
};

Session session[SESSIONS + 1];

byte executed = 0;	/* times that a target has executed the attempt */
byte again = 0;		/* times that the sender has run the request elsewhere */

#define ONCE	assert(executed + again <= 1)

inline select_session(which)
{
	if
	:: nempty(session[1].up) -> which = 1
	:: nempty(session[2].up) -> which = 2
#if SESSIONS > 2
	:: nempty(session[3].up) -> which = 3
#endif
	fi
}

inline opened()
{
	if
	:: !lane ->
		lane = true; number = s; whole = 1 << s;
		session[s].down!GREETED, life
	:: lane && s > number ->
#ifdef LOWER_BOUND
		/* All between the first and the newest session is taken for known. */
		whole = whole | ((1 << s) - (1 << number));
#endif
		number = s; whole = whole | (1 << s);
		session[s].down!GREETED, life
	:: else -> session[s].down!NOTHING, 0
	fi
}

inline called()
{
	if
	:: incarnation != life -> session[s].down!NOT_RUN, 0
#ifndef NO_FENCE
	:: incarnation == life && (!lane || s != number) -> session[s].down!NOT_RUN, 0
#endif
	:: else ->
		kept = true; from = s;
		executed++; ONCE;
		session[s].down!KNOWN, 0
	fi
}

inline asked()
{
	if
#if !defined(NAIVE_QUERY) && !defined(NO_INCARNATION)
	:: incarnation != life -> session[s].down!MAY_HAVE_RUN, 0
	:: incarnation == life && (!lane || s != number) ->
#else
	:: !lane || s != number ->
#endif
#ifdef FENCED_AS_PROOF
		session[s].down!NOT_RUN, 0
#else
		session[s].down!NOTHING, 0
#endif
	:: else ->
		if
		:: kept -> session[s].down!KNOWN, 0
#ifndef QUERY_SAME
		:: !kept && sent >= s -> session[s].down!NOTHING, 0
#endif
#if defined(NAIVE_QUERY) || defined(NO_MEMORY)
		:: !kept -> session[s].down!NOT_RUN, 0
#else
#ifdef QUERY_SAME
		:: !kept && (whole & (1 << sent)) -> session[s].down!NOT_RUN, 0
#else
		:: !kept && sent < s && (whole & (1 << sent)) -> session[s].down!NOT_RUN, 0
#endif
		:: !kept && !(whole & (1 << sent)) -> session[s].down!MAY_HAVE_RUN, 0
#endif
		fi
	fi
}

/* The agents at the address, one life after the other. */
active proctype agent()
{
	byte life = 1;
	bool lane = false;	/* the lane is known */
	byte number = 0;	/* its newest session */
	byte whole = 0;		/* bit of each session of which nothing was forgotten */
	bool kept = false;	/* the attempt is in the table */
	byte from = 0;		/* session that carried it */
	byte s, incarnation, sent;

end:	do
	:: atomic {
		/* A frame of any connection is handled; an agent works on many at once. */
		select_session(s);
		if
		:: session[s].up??HELLO, incarnation, sent -> opened()
		:: session[s].up??CALL, incarnation, sent -> called()
		:: session[s].up??QUERY, incarnation, sent -> asked()
		fi;
		s = 0; incarnation = 0; sent = 0
	   }
	:: atomic {
		/* The result was not acknowledged and its retention time is over. */
		kept ->
		kept = false;
#ifndef FORGETFUL
		whole = whole & ~(1 << from);
#endif
		from = 0
	   }
	:: atomic { lane -> lane = false; number = 0; whole = 0 }	/* the lane was idle for long */
	:: atomic {
		/* The process dies and another takes its place. */
		life < LIVES ->
		life++; lane = false; number = 0; whole = 0; kept = false; from = 0
	   }
	od
}

active proctype sender()
{
	byte now = 1;		/* session in use */
	byte sent = 0;		/* session that carried the attempt */
	byte addressed = 0;	/* incarnation that it is addressed to */
	byte life;
	mtype kind;

first:	session[now].up!HELLO, 0, 0;
#ifdef EAGER
	/* The life is known from a list; the answer to hello is not waited for. */
	addressed = 1;
#else
	if
	:: session[now].down?GREETED, life -> addressed = life
	:: now < SESSIONS -> now++; goto first	/* given up with nothing sent */
	:: now == SESSIONS -> goto over
	fi;
#endif
	sent = now;
	session[now].up!CALL, addressed, sent;

	do
	:: session[now].down?kind, life ->
		if
		:: kind == GREETED -> skip
		:: kind == NOT_RUN -> atomic { again++; ONCE }; break
		:: kind == KNOWN || kind == MAY_HAVE_RUN -> break
		:: kind == NOTHING -> goto renew
		fi
#ifdef QUERY_SAME
	:: now == sent -> session[now].up!QUERY, addressed, sent;
		session[now].down?kind, life;
		if
		:: kind == NOT_RUN -> atomic { again++; ONCE }; break
		:: else -> break
		fi
#endif
	:: now < SESSIONS ->	/* the connection is silent, or seems so */
renew:		if
		:: now == SESSIONS -> break
		:: now < SESSIONS ->
			now++;
			session[now].up!HELLO, 0, 0;
#ifndef EAGER
			if
			:: session[now].down?GREETED, life
			:: session[now].down?NOTHING, life -> goto renew
			:: now < SESSIONS -> goto renew
			:: now == SESSIONS -> break
			fi;
#endif
			session[now].up!QUERY, addressed, sent
		fi
	:: now == SESSIONS -> break	/* the deadline passes */
	od;
over:	skip
}
