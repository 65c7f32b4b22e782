#define rand	pan_rand
#define pthread_equal(a,b)	((a)==(b))
#if defined(HAS_CODE) && defined(VERBOSE)
	#ifdef BFS_PAR
		bfs_printf("Pr: %d Tr: %d\n", II, t->forw);
	#else
		cpu_printf("Pr: %d Tr: %d\n", II, t->forw);
	#endif
#endif
	switch (t->forw) {
	default: Uerror("bad forward move");
	case 0:	/* if without executable clauses */
		continue;
	case 1: /* generic 'goto' or 'skip' */
		IfNotBlocked
		_m = 3; goto P999;
	case 2: /* generic 'else' */
		IfNotBlocked
		if (trpt->o_pm&1) continue;
		_m = 3; goto P999;

		 /* PROC :init: */
	case 3: // STATE 1 - spec/relay.pml:169 - [((i<1))] (0:0:0 - 1)
		IfNotBlocked
		reached[6][1] = 1;
		if (!((((int)((P6 *)_this)->i)<1)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 4: // STATE 2 - spec/relay.pml:169 - [(run reader(i))] (0:0:0 - 1)
		IfNotBlocked
		reached[6][2] = 1;
		if (!(addproc(II, 1, 3, ((int)((P6 *)_this)->i))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 5: // STATE 3 - spec/relay.pml:169 - [i = (i+1)] (0:0:1 - 1)
		IfNotBlocked
		reached[6][3] = 1;
		(trpt+1)->bup.oval = ((int)((P6 *)_this)->i);
		((P6 *)_this)->i = (((int)((P6 *)_this)->i)+1);
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P6 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 6: // STATE 4 - spec/relay.pml:170 - [(((i>=1)&&(i<(1+1))))] (0:0:0 - 1)
		IfNotBlocked
		reached[6][4] = 1;
		if (!(((((int)((P6 *)_this)->i)>=1)&&(((int)((P6 *)_this)->i)<(1+1)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 7: // STATE 5 - spec/relay.pml:170 - [(run asking(i))] (0:0:0 - 1)
		IfNotBlocked
		reached[6][5] = 1;
		if (!(addproc(II, 1, 4, ((int)((P6 *)_this)->i))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 8: // STATE 6 - spec/relay.pml:170 - [i = (i+1)] (0:0:1 - 1)
		IfNotBlocked
		reached[6][6] = 1;
		(trpt+1)->bup.oval = ((int)((P6 *)_this)->i);
		((P6 *)_this)->i = (((int)((P6 *)_this)->i)+1);
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P6 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 9: // STATE 7 - spec/relay.pml:171 - [((i==(1+1)))] (11:0:1 - 1)
		IfNotBlocked
		reached[6][7] = 1;
		if (!((((int)((P6 *)_this)->i)==(1+1))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P6 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P6 *)_this)->i = 0;
		/* merge: goto :b7(0, 8, 11) */
		reached[6][8] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 10: // STATE 13 - spec/relay.pml:174 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[6][13] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC caller */
	case 11: // STATE 1 - spec/relay.pml:155 - [i = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[5][1] = 1;
		(trpt+1)->bup.oval = ((int)((P5 *)_this)->i);
		((P5 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("caller:i", ((int)((P5 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 12: // STATE 2 - spec/relay.pml:155 - [((i<((1+1)-1)))] (5:0:1 - 1)
		IfNotBlocked
		reached[5][2] = 1;
		if (!((((int)((P5 *)_this)->i)<((1+1)-1))))
			continue;
		/* merge: i = (i+1)(0, 3, 5) */
		reached[5][3] = 1;
		(trpt+1)->bup.oval = ((int)((P5 *)_this)->i);
		((P5 *)_this)->i = (((int)((P5 *)_this)->i)+1);
#ifdef VAR_RANGES
		logval("caller:i", ((int)((P5 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 6, 5) */
		reached[5][6] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 13: // STATE 8 - spec/relay.pml:158 - [(((knows[i]==1)&&(((now-stood[i])-moment[i])<=1)))] (14:0:1 - 1)
		IfNotBlocked
		reached[5][8] = 1;
		if (!(((((int)now.knows[ Index(((int)((P5 *)_this)->i), 2) ])==1)&&(((((int)now.now)-((int)now.stood[ Index(((int)((P5 *)_this)->i), 2) ]))-((int)now.moment[ Index(((int)((P5 *)_this)->i), 2) ]))<=1))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: i */  (trpt+1)->bup.oval = ((P5 *)_this)->i;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P5 *)_this)->i = 0;
		/* merge: assert((!(revoked)||((now-revoked)<=1)))(14, 9, 14) */
		reached[5][9] = 1;
		spin_assert(( !(((int)now.revoked))||((((int)now.now)-((int)now.revoked))<=1)), "( !(revoked)||((now-revoked)<=1))", II, tt, t);
		/* merge: .(goto)(14, 12, 14) */
		reached[5][12] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 14: // STATE 12 - spec/relay.pml:162 - [.(goto)] (0:14:0 - 2)
		IfNotBlocked
		reached[5][12] = 1;
		;
		_m = 3; goto P999; /* 0 */
	case 15: // STATE 14 - spec/relay.pml:163 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[5][14] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC asking */
	case 16: // STATE 1 - spec/relay.pml:109 - [((round<2))] (7:0:2 - 1)
		IfNotBlocked
		reached[4][1] = 1;
		if (!((((int)((P4 *)_this)->round)<2)))
			continue;
		/* merge: round = (round+1)(7, 2, 7) */
		reached[4][2] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P4 *)_this)->round);
		((P4 *)_this)->round = (((int)((P4 *)_this)->round)+1);
#ifdef VAR_RANGES
		logval("asking:round", ((int)((P4 *)_this)->round));
#endif
		;
		/* merge: whom = 0(7, 3, 7) */
		reached[4][3] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P4 *)_this)->whom);
		((P4 *)_this)->whom = 0;
#ifdef VAR_RANGES
		logval("asking:whom", ((int)((P4 *)_this)->whom));
#endif
		;
		/* merge: .(goto)(0, 8, 7) */
		reached[4][8] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 17: // STATE 4 - spec/relay.pml:111 - [((whom<((1+1)-1)))] (7:0:1 - 1)
		IfNotBlocked
		reached[4][4] = 1;
		if (!((((int)((P4 *)_this)->whom)<((1+1)-1))))
			continue;
		/* merge: whom = (whom+1)(0, 5, 7) */
		reached[4][5] = 1;
		(trpt+1)->bup.oval = ((int)((P4 *)_this)->whom);
		((P4 *)_this)->whom = (((int)((P4 *)_this)->whom)+1);
#ifdef VAR_RANGES
		logval("asking:whom", ((int)((P4 *)_this)->whom));
#endif
		;
		/* merge: .(goto)(0, 8, 7) */
		reached[4][8] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 18: // STATE 10 - spec/relay.pml:113 - [((whom==i))] (15:0:2 - 1)
		IfNotBlocked
		reached[4][10] = 1;
		if (!((((int)((P4 *)_this)->whom)==((int)((P4 *)_this)->i))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: whom */  (trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((P4 *)_this)->whom;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P4 *)_this)->whom = 0;
		/* merge: whom = 0(0, 11, 15) */
		reached[4][11] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P4 *)_this)->whom);
		((P4 *)_this)->whom = 0;
#ifdef VAR_RANGES
		logval("asking:whom", ((int)((P4 *)_this)->whom));
#endif
		;
		/* merge: .(goto)(0, 14, 15) */
		reached[4][14] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 19: // STATE 15 - spec/relay.pml:116 - [asked = (now-stood[i])] (0:0:1 - 3)
		IfNotBlocked
		reached[4][15] = 1;
		(trpt+1)->bup.oval = ((int)((P4 *)_this)->asked);
		((P4 *)_this)->asked = (((int)now.now)-((int)now.stood[ Index(((int)((P4 *)_this)->i), 2) ]));
#ifdef VAR_RANGES
		logval("asking:asked", ((int)((P4 *)_this)->asked));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 20: // STATE 16 - spec/relay.pml:117 - [arrived = (now-stood[whom])] (0:0:1 - 1)
		IfNotBlocked
		reached[4][16] = 1;
		(trpt+1)->bup.oval = ((int)((P4 *)_this)->arrived);
		((P4 *)_this)->arrived = (((int)now.now)-((int)now.stood[ Index(((int)((P4 *)_this)->whom), 2) ]));
#ifdef VAR_RANGES
		logval("asking:arrived", ((int)((P4 *)_this)->arrived));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 21: // STATE 17 - spec/relay.pml:127 - [value = knows[whom]] (0:35:2 - 1)
		IfNotBlocked
		reached[4][17] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P4 *)_this)->value);
		((P4 *)_this)->value = ((int)now.knows[ Index(((int)((P4 *)_this)->whom), 2) ]);
#ifdef VAR_RANGES
		logval("asking:value", ((int)((P4 *)_this)->value));
#endif
		;
		/* merge: age = ( ((( (((now-stood[whom])>moment[whom])) -> (((now-stood[whom])-moment[whom])) : (0) )>( (((now-stood[whom])>arrived)) -> (((now-stood[whom])-arrived)) : (0) ))) -> ((( (((now-stood[whom])>moment[whom])) -> (((now-stood[whom])-moment[whom])) : (0) )-( (((now-stood[whom])>arrived)) -> (((now-stood[whom])-arrived)) : (0) ))) : (0) )(35, 18, 35) */
		reached[4][18] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P4 *)_this)->age);
		((P4 *)_this)->age = ( ((( (((((int)now.now)-((int)now.stood[ Index(((int)((P4 *)_this)->whom), 2) ]))>((int)now.moment[ Index(((int)((P4 *)_this)->whom), 2) ]))) ? (((((int)now.now)-((int)now.stood[ Index(((int)((P4 *)_this)->whom), 2) ]))-((int)now.moment[ Index(((int)((P4 *)_this)->whom), 2) ]))) : (0) )>( (((((int)now.now)-((int)now.stood[ Index(((int)((P4 *)_this)->whom), 2) ]))>((int)((P4 *)_this)->arrived))) ? (((((int)now.now)-((int)now.stood[ Index(((int)((P4 *)_this)->whom), 2) ]))-((int)((P4 *)_this)->arrived))) : (0) ))) ? ((( (((((int)now.now)-((int)now.stood[ Index(((int)((P4 *)_this)->whom), 2) ]))>((int)now.moment[ Index(((int)((P4 *)_this)->whom), 2) ]))) ? (((((int)now.now)-((int)now.stood[ Index(((int)((P4 *)_this)->whom), 2) ]))-((int)now.moment[ Index(((int)((P4 *)_this)->whom), 2) ]))) : (0) )-( (((((int)now.now)-((int)now.stood[ Index(((int)((P4 *)_this)->whom), 2) ]))>((int)((P4 *)_this)->arrived))) ? (((((int)now.now)-((int)now.stood[ Index(((int)((P4 *)_this)->whom), 2) ]))-((int)((P4 *)_this)->arrived))) : (0) ))) : (0) );
#ifdef VAR_RANGES
		logval("asking:age", ((int)((P4 *)_this)->age));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 22: // STATE 20 - spec/relay.pml:135 - [(value)] (0:0:0 - 1)
		IfNotBlocked
		reached[4][20] = 1;
		if (!(((int)((P4 *)_this)->value)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 23: // STATE 21 - spec/relay.pml:139 - [asked = ( ((asked>age)) -> ((asked-age)) : (0) )] (0:0:1 - 1)
		IfNotBlocked
		reached[4][21] = 1;
		(trpt+1)->bup.oval = ((int)((P4 *)_this)->asked);
		((P4 *)_this)->asked = ( ((((int)((P4 *)_this)->asked)>((int)((P4 *)_this)->age))) ? ((((int)((P4 *)_this)->asked)-((int)((P4 *)_this)->age))) : (0) );
#ifdef VAR_RANGES
		logval("asking:asked", ((int)((P4 *)_this)->asked));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 24: // STATE 22 - spec/relay.pml:55 - [((value>knows[i]))] (30:0:1 - 1)
		IfNotBlocked
		reached[4][22] = 1;
		if (!((((int)((P4 *)_this)->value)>((int)now.knows[ Index(((int)((P4 *)_this)->i), 2) ]))))
			continue;
		/* merge: knows[i] = value(0, 23, 30) */
		reached[4][23] = 1;
		(trpt+1)->bup.oval = ((int)now.knows[ Index(((int)((P4 *)_this)->i), 2) ]);
		now.knows[ Index(((P4 *)_this)->i, 2) ] = ((int)((P4 *)_this)->value);
#ifdef VAR_RANGES
		logval("knows[asking:i]", ((int)now.knows[ Index(((int)((P4 *)_this)->i), 2) ]));
#endif
		;
		/* merge: .(goto)(0, 26, 30) */
		reached[4][26] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 25: // STATE 27 - spec/relay.pml:60 - [((asked>moment[i]))] (44:0:6 - 1)
		IfNotBlocked
		reached[4][27] = 1;
		if (!((((int)((P4 *)_this)->asked)>((int)now.moment[ Index(((int)((P4 *)_this)->i), 2) ]))))
			continue;
		/* merge: moment[i] = asked(44, 28, 44) */
		reached[4][28] = 1;
		(trpt+1)->bup.ovals = grab_ints(6);
		(trpt+1)->bup.ovals[0] = ((int)now.moment[ Index(((int)((P4 *)_this)->i), 2) ]);
		now.moment[ Index(((P4 *)_this)->i, 2) ] = ((int)((P4 *)_this)->asked);
#ifdef VAR_RANGES
		logval("moment[asking:i]", ((int)now.moment[ Index(((int)((P4 *)_this)->i), 2) ]));
#endif
		;
		/* merge: .(goto)(44, 31, 44) */
		reached[4][31] = 1;
		;
		/* merge: .(goto)(44, 36, 44) */
		reached[4][36] = 1;
		;
		/* merge: asked = 0(44, 37, 44) */
		reached[4][37] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P4 *)_this)->asked);
		((P4 *)_this)->asked = 0;
#ifdef VAR_RANGES
		logval("asking:asked", ((int)((P4 *)_this)->asked));
#endif
		;
		/* merge: arrived = 0(44, 38, 44) */
		reached[4][38] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P4 *)_this)->arrived);
		((P4 *)_this)->arrived = 0;
#ifdef VAR_RANGES
		logval("asking:arrived", ((int)((P4 *)_this)->arrived));
#endif
		;
		/* merge: age = 0(44, 39, 44) */
		reached[4][39] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P4 *)_this)->age);
		((P4 *)_this)->age = 0;
#ifdef VAR_RANGES
		logval("asking:age", ((int)((P4 *)_this)->age));
#endif
		;
		/* merge: value = 0(44, 40, 44) */
		reached[4][40] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P4 *)_this)->value);
		((P4 *)_this)->value = 0;
#ifdef VAR_RANGES
		logval("asking:value", ((int)((P4 *)_this)->value));
#endif
		;
		/* merge: whom = 0(44, 41, 44) */
		reached[4][41] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P4 *)_this)->whom);
		((P4 *)_this)->whom = 0;
#ifdef VAR_RANGES
		logval("asking:whom", ((int)((P4 *)_this)->whom));
#endif
		;
		/* merge: .(goto)(0, 45, 44) */
		reached[4][45] = 1;
		;
		_m = 3; goto P999; /* 9 */
	case 26: // STATE 31 - spec/relay.pml:63 - [.(goto)] (0:44:5 - 2)
		IfNotBlocked
		reached[4][31] = 1;
		;
		/* merge: .(goto)(44, 36, 44) */
		reached[4][36] = 1;
		;
		/* merge: asked = 0(44, 37, 44) */
		reached[4][37] = 1;
		(trpt+1)->bup.ovals = grab_ints(5);
		(trpt+1)->bup.ovals[0] = ((int)((P4 *)_this)->asked);
		((P4 *)_this)->asked = 0;
#ifdef VAR_RANGES
		logval("asking:asked", ((int)((P4 *)_this)->asked));
#endif
		;
		/* merge: arrived = 0(44, 38, 44) */
		reached[4][38] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P4 *)_this)->arrived);
		((P4 *)_this)->arrived = 0;
#ifdef VAR_RANGES
		logval("asking:arrived", ((int)((P4 *)_this)->arrived));
#endif
		;
		/* merge: age = 0(44, 39, 44) */
		reached[4][39] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P4 *)_this)->age);
		((P4 *)_this)->age = 0;
#ifdef VAR_RANGES
		logval("asking:age", ((int)((P4 *)_this)->age));
#endif
		;
		/* merge: value = 0(44, 40, 44) */
		reached[4][40] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P4 *)_this)->value);
		((P4 *)_this)->value = 0;
#ifdef VAR_RANGES
		logval("asking:value", ((int)((P4 *)_this)->value));
#endif
		;
		/* merge: whom = 0(44, 41, 44) */
		reached[4][41] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P4 *)_this)->whom);
		((P4 *)_this)->whom = 0;
#ifdef VAR_RANGES
		logval("asking:whom", ((int)((P4 *)_this)->whom));
#endif
		;
		/* merge: .(goto)(0, 45, 44) */
		reached[4][45] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 27: // STATE 37 - spec/relay.pml:143 - [asked = 0] (0:44:5 - 3)
		IfNotBlocked
		reached[4][37] = 1;
		(trpt+1)->bup.ovals = grab_ints(5);
		(trpt+1)->bup.ovals[0] = ((int)((P4 *)_this)->asked);
		((P4 *)_this)->asked = 0;
#ifdef VAR_RANGES
		logval("asking:asked", ((int)((P4 *)_this)->asked));
#endif
		;
		/* merge: arrived = 0(44, 38, 44) */
		reached[4][38] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P4 *)_this)->arrived);
		((P4 *)_this)->arrived = 0;
#ifdef VAR_RANGES
		logval("asking:arrived", ((int)((P4 *)_this)->arrived));
#endif
		;
		/* merge: age = 0(44, 39, 44) */
		reached[4][39] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P4 *)_this)->age);
		((P4 *)_this)->age = 0;
#ifdef VAR_RANGES
		logval("asking:age", ((int)((P4 *)_this)->age));
#endif
		;
		/* merge: value = 0(44, 40, 44) */
		reached[4][40] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P4 *)_this)->value);
		((P4 *)_this)->value = 0;
#ifdef VAR_RANGES
		logval("asking:value", ((int)((P4 *)_this)->value));
#endif
		;
		/* merge: whom = 0(44, 41, 44) */
		reached[4][41] = 1;
		(trpt+1)->bup.ovals[4] = ((int)((P4 *)_this)->whom);
		((P4 *)_this)->whom = 0;
#ifdef VAR_RANGES
		logval("asking:whom", ((int)((P4 *)_this)->whom));
#endif
		;
		/* merge: .(goto)(0, 45, 44) */
		reached[4][45] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 28: // STATE 42 - spec/relay.pml:148 - [((round==2))] (0:0:1 - 1)
		IfNotBlocked
		reached[4][42] = 1;
		if (!((((int)((P4 *)_this)->round)==2)))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: round */  (trpt+1)->bup.oval = ((P4 *)_this)->round;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P4 *)_this)->round = 0;
		_m = 3; goto P999; /* 0 */
	case 29: // STATE 47 - spec/relay.pml:150 - [-end-] (0:0:0 - 3)
		IfNotBlocked
		reached[4][47] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC reader */
	case 30: // STATE 1 - spec/relay.pml:90 - [((round<2))] (3:0:1 - 1)
		IfNotBlocked
		reached[3][1] = 1;
		if (!((((int)((P3 *)_this)->round)<2)))
			continue;
		/* merge: round = (round+1)(0, 2, 3) */
		reached[3][2] = 1;
		(trpt+1)->bup.oval = ((int)((P3 *)_this)->round);
		((P3 *)_this)->round = (((int)((P3 *)_this)->round)+1);
#ifdef VAR_RANGES
		logval("reader:round", ((int)((P3 *)_this)->round));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 31: // STATE 3 - spec/relay.pml:92 - [asked = (now-stood[i])] (0:0:1 - 1)
		IfNotBlocked
		reached[3][3] = 1;
		(trpt+1)->bup.oval = ((int)((P3 *)_this)->asked);
		((P3 *)_this)->asked = (((int)now.now)-((int)now.stood[ Index(((int)((P3 *)_this)->i), 2) ]));
#ifdef VAR_RANGES
		logval("reader:asked", ((int)((P3 *)_this)->asked));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 32: // STATE 4 - spec/relay.pml:94 - [value = ( (revoked) -> (2) : (1) )] (0:0:1 - 1)
		IfNotBlocked
		reached[3][4] = 1;
		(trpt+1)->bup.oval = ((int)((P3 *)_this)->value);
		((P3 *)_this)->value = ( (((int)now.revoked)) ? (2) : (1) );
#ifdef VAR_RANGES
		logval("reader:value", ((int)((P3 *)_this)->value));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 33: // STATE 6 - spec/relay.pml:55 - [((value>knows[i]))] (14:0:1 - 1)
		IfNotBlocked
		reached[3][6] = 1;
		if (!((((int)((P3 *)_this)->value)>((int)now.knows[ Index(((int)((P3 *)_this)->i), 2) ]))))
			continue;
		/* merge: knows[i] = value(0, 7, 14) */
		reached[3][7] = 1;
		(trpt+1)->bup.oval = ((int)now.knows[ Index(((int)((P3 *)_this)->i), 2) ]);
		now.knows[ Index(((P3 *)_this)->i, 2) ] = ((int)((P3 *)_this)->value);
#ifdef VAR_RANGES
		logval("knows[reader:i]", ((int)now.knows[ Index(((int)((P3 *)_this)->i), 2) ]));
#endif
		;
		/* merge: .(goto)(0, 10, 14) */
		reached[3][10] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 34: // STATE 11 - spec/relay.pml:60 - [((asked>moment[i]))] (22:0:3 - 1)
		IfNotBlocked
		reached[3][11] = 1;
		if (!((((int)((P3 *)_this)->asked)>((int)now.moment[ Index(((int)((P3 *)_this)->i), 2) ]))))
			continue;
		/* merge: moment[i] = asked(22, 12, 22) */
		reached[3][12] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.moment[ Index(((int)((P3 *)_this)->i), 2) ]);
		now.moment[ Index(((P3 *)_this)->i, 2) ] = ((int)((P3 *)_this)->asked);
#ifdef VAR_RANGES
		logval("moment[reader:i]", ((int)now.moment[ Index(((int)((P3 *)_this)->i), 2) ]));
#endif
		;
		/* merge: .(goto)(22, 15, 22) */
		reached[3][15] = 1;
		;
		/* merge: value = 0(22, 18, 22) */
		reached[3][18] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P3 *)_this)->value);
		((P3 *)_this)->value = 0;
#ifdef VAR_RANGES
		logval("reader:value", ((int)((P3 *)_this)->value));
#endif
		;
		/* merge: asked = 0(22, 19, 22) */
		reached[3][19] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P3 *)_this)->asked);
		((P3 *)_this)->asked = 0;
#ifdef VAR_RANGES
		logval("reader:asked", ((int)((P3 *)_this)->asked));
#endif
		;
		/* merge: .(goto)(0, 23, 22) */
		reached[3][23] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 35: // STATE 15 - spec/relay.pml:63 - [.(goto)] (0:22:2 - 2)
		IfNotBlocked
		reached[3][15] = 1;
		;
		/* merge: value = 0(22, 18, 22) */
		reached[3][18] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P3 *)_this)->value);
		((P3 *)_this)->value = 0;
#ifdef VAR_RANGES
		logval("reader:value", ((int)((P3 *)_this)->value));
#endif
		;
		/* merge: asked = 0(22, 19, 22) */
		reached[3][19] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P3 *)_this)->asked);
		((P3 *)_this)->asked = 0;
#ifdef VAR_RANGES
		logval("reader:asked", ((int)((P3 *)_this)->asked));
#endif
		;
		/* merge: .(goto)(0, 23, 22) */
		reached[3][23] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 36: // STATE 20 - spec/relay.pml:102 - [((round==2))] (0:0:1 - 1)
		IfNotBlocked
		reached[3][20] = 1;
		if (!((((int)((P3 *)_this)->round)==2)))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: round */  (trpt+1)->bup.oval = ((P3 *)_this)->round;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P3 *)_this)->round = 0;
		_m = 3; goto P999; /* 0 */
	case 37: // STATE 25 - spec/relay.pml:104 - [-end-] (0:0:0 - 3)
		IfNotBlocked
		reached[3][25] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC suspension */
	case 38: // STATE 1 - spec/relay.pml:79 - [i = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[2][1] = 1;
		(trpt+1)->bup.oval = ((int)((P2 *)_this)->i);
		((P2 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval("suspension:i", ((int)((P2 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 39: // STATE 2 - spec/relay.pml:79 - [((i<((1+1)-1)))] (5:0:1 - 1)
		IfNotBlocked
		reached[2][2] = 1;
		if (!((((int)((P2 *)_this)->i)<((1+1)-1))))
			continue;
		/* merge: i = (i+1)(0, 3, 5) */
		reached[2][3] = 1;
		(trpt+1)->bup.oval = ((int)((P2 *)_this)->i);
		((P2 *)_this)->i = (((int)((P2 *)_this)->i)+1);
#ifdef VAR_RANGES
		logval("suspension:i", ((int)((P2 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 6, 5) */
		reached[2][6] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 40: // STATE 8 - spec/relay.pml:81 - [((now<4))] (13:0:2 - 1)
		IfNotBlocked
		reached[2][8] = 1;
		if (!((((int)now.now)<4)))
			continue;
		/* merge: now = (now+1)(13, 9, 13) */
		reached[2][9] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.now);
		now.now = (((int)now.now)+1);
#ifdef VAR_RANGES
		logval("now", ((int)now.now));
#endif
		;
		/* merge: stood[i] = (stood[i]+1)(13, 10, 13) */
		reached[2][10] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.stood[ Index(((int)((P2 *)_this)->i), 2) ]);
		now.stood[ Index(((P2 *)_this)->i, 2) ] = (((int)now.stood[ Index(((int)((P2 *)_this)->i), 2) ])+1);
#ifdef VAR_RANGES
		logval("stood[suspension:i]", ((int)now.stood[ Index(((int)((P2 *)_this)->i), 2) ]));
#endif
		;
		/* merge: .(goto)(0, 14, 13) */
		reached[2][14] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 41: // STATE 16 - spec/relay.pml:84 - [-end-] (0:0:0 - 2)
		IfNotBlocked
		reached[2][16] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC operator */
	case 42: // STATE 1 - spec/relay.pml:73 - [revoked = now] (0:0:1 - 1)
		IfNotBlocked
		reached[1][1] = 1;
		(trpt+1)->bup.oval = ((int)now.revoked);
		now.revoked = ((int)now.now);
#ifdef VAR_RANGES
		logval("revoked", ((int)now.revoked));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 43: // STATE 3 - spec/relay.pml:74 - [-end-] (0:0:0 - 1)
		IfNotBlocked
		reached[1][3] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */

		 /* PROC time */
	case 44: // STATE 1 - spec/relay.pml:67 - [((now<4))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1] = 1;
		if (!((((int)now.now)<4)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 45: // STATE 2 - spec/relay.pml:67 - [now = (now+1)] (0:0:1 - 1)
		IfNotBlocked
		reached[0][2] = 1;
		(trpt+1)->bup.oval = ((int)now.now);
		now.now = (((int)now.now)+1);
#ifdef VAR_RANGES
		logval("now", ((int)now.now));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 46: // STATE 3 - spec/relay.pml:68 - [((now==4))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][3] = 1;
		if (!((((int)now.now)==4)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 47: // STATE 8 - spec/relay.pml:70 - [-end-] (0:0:0 - 3)
		IfNotBlocked
		reached[0][8] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */
	case  _T5:	/* np_ */
		if (!((!(trpt->o_pm&4) && !(trpt->tau&128))))
			continue;
		/* else fall through */
	case  _T2:	/* true */
		_m = 3; goto P999;
#undef rand
	}

