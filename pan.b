	switch (t->back) {
	default: Uerror("bad return move");
	case  0: goto R999; /* nothing to undo */

		 /* PROC :init: */
;
		;
		
	case 4: // STATE 2
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 5: // STATE 3
		;
		((P6 *)_this)->i = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 7: // STATE 5
		;
		;
		delproc(0, now._nr_pr-1);
		;
		goto R999;

	case 8: // STATE 6
		;
		((P6 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 9: // STATE 7
		;
	/* 0 */	((P6 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;

	case 10: // STATE 13
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC caller */

	case 11: // STATE 1
		;
		((P5 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 12: // STATE 3
		;
		((P5 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 13: // STATE 8
		;
	/* 0 */	((P5 *)_this)->i = trpt->bup.oval;
		;
		;
		goto R999;
;
		
	case 14: // STATE 12
		goto R999;

	case 15: // STATE 14
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC asking */

	case 16: // STATE 3
		;
		((P4 *)_this)->whom = trpt->bup.ovals[1];
		((P4 *)_this)->round = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 17: // STATE 5
		;
		((P4 *)_this)->whom = trpt->bup.oval;
		;
		goto R999;

	case 18: // STATE 11
		;
		((P4 *)_this)->whom = trpt->bup.ovals[1];
	/* 0 */	((P4 *)_this)->whom = trpt->bup.ovals[0];
		;
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 19: // STATE 15
		;
		((P4 *)_this)->asked = trpt->bup.oval;
		;
		goto R999;

	case 20: // STATE 16
		;
		((P4 *)_this)->arrived = trpt->bup.oval;
		;
		goto R999;

	case 21: // STATE 18
		;
		((P4 *)_this)->age = trpt->bup.ovals[1];
		((P4 *)_this)->value = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 23: // STATE 21
		;
		((P4 *)_this)->asked = trpt->bup.oval;
		;
		goto R999;

	case 24: // STATE 23
		;
		now.knows[ Index(((P4 *)_this)->i, 2) ] = trpt->bup.oval;
		;
		goto R999;

	case 25: // STATE 41
		;
		((P4 *)_this)->whom = trpt->bup.ovals[5];
		((P4 *)_this)->value = trpt->bup.ovals[4];
		((P4 *)_this)->age = trpt->bup.ovals[3];
		((P4 *)_this)->arrived = trpt->bup.ovals[2];
		((P4 *)_this)->asked = trpt->bup.ovals[1];
		now.moment[ Index(((P4 *)_this)->i, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 6);
		goto R999;

	case 26: // STATE 41
		;
		((P4 *)_this)->whom = trpt->bup.ovals[4];
		((P4 *)_this)->value = trpt->bup.ovals[3];
		((P4 *)_this)->age = trpt->bup.ovals[2];
		((P4 *)_this)->arrived = trpt->bup.ovals[1];
		((P4 *)_this)->asked = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 5);
		goto R999;

	case 27: // STATE 41
		;
		((P4 *)_this)->whom = trpt->bup.ovals[4];
		((P4 *)_this)->value = trpt->bup.ovals[3];
		((P4 *)_this)->age = trpt->bup.ovals[2];
		((P4 *)_this)->arrived = trpt->bup.ovals[1];
		((P4 *)_this)->asked = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 5);
		goto R999;

	case 28: // STATE 42
		;
	/* 0 */	((P4 *)_this)->round = trpt->bup.oval;
		;
		;
		goto R999;

	case 29: // STATE 47
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC reader */

	case 30: // STATE 2
		;
		((P3 *)_this)->round = trpt->bup.oval;
		;
		goto R999;

	case 31: // STATE 3
		;
		((P3 *)_this)->asked = trpt->bup.oval;
		;
		goto R999;

	case 32: // STATE 4
		;
		((P3 *)_this)->value = trpt->bup.oval;
		;
		goto R999;

	case 33: // STATE 7
		;
		now.knows[ Index(((P3 *)_this)->i, 2) ] = trpt->bup.oval;
		;
		goto R999;

	case 34: // STATE 19
		;
		((P3 *)_this)->asked = trpt->bup.ovals[2];
		((P3 *)_this)->value = trpt->bup.ovals[1];
		now.moment[ Index(((P3 *)_this)->i, 2) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 35: // STATE 19
		;
		((P3 *)_this)->asked = trpt->bup.ovals[1];
		((P3 *)_this)->value = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 36: // STATE 20
		;
	/* 0 */	((P3 *)_this)->round = trpt->bup.oval;
		;
		;
		goto R999;

	case 37: // STATE 25
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC suspension */

	case 38: // STATE 1
		;
		((P2 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 39: // STATE 3
		;
		((P2 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 40: // STATE 10
		;
		now.stood[ Index(((P2 *)_this)->i, 2) ] = trpt->bup.ovals[1];
		now.now = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 41: // STATE 16
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC operator */

	case 42: // STATE 1
		;
		now.revoked = trpt->bup.oval;
		;
		goto R999;

	case 43: // STATE 3
		;
		p_restor(II);
		;
		;
		goto R999;

		 /* PROC time */
;
		;
		
	case 45: // STATE 2
		;
		now.now = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 47: // STATE 8
		;
		p_restor(II);
		;
		;
		goto R999;
	}

