/*
 * Publication of release notes: two publishers, one store, three daemons.
 *
 * A publisher reads the head, writes its own note, and updates the head by
 * compare-and-swap. The answer of the store may be lost, and the store may be
 * unavailable for a time. VM 0 watches the store. VM 1 and VM 2 receive revisions
 * from the preceding VM; stale revisions may be in flight. VM 2 may be partitioned
 * from VM 1 for a time.
 *
 * Not modelled: the contents of notes, invalid notes (they never reach the head)
 * and time. A revision is the number of notes in the head. The head's notes are
 * an array, so that a publisher can search for its own note.
 *
 * Each macro disables one guard, and Spin must then find a violation:
 *   NO_READBACK  after a lost answer a publisher retries on a new base without
 *                searching the head for its own note
 *   NO_MAXIMUM   a daemon accepts any received revision, also a lower one
 *   NO_SWAP      a publisher writes the head without comparing
 */
#define MAX_NOTES 4
byte head;                    /* latest revision in the store */
byte note[MAX_NOTES];         /* [r]: publisher of revision r + 1, plus 1; 0 for none */
bool down;                    /* the store is unavailable */
byte outages_left = 1;
byte lost_answers_left = 2;   /* answers of the store that may be lost */
byte outcome[2];              /* by publisher: 0 pending, 1 accepted, 2 refused */
byte revision_at[3];          /* revision of each daemon */
byte highest[3];              /* highest revision that each daemon has had */
bool cut;                     /* VM 1 and VM 2 are partitioned */
byte cuts_left = 1;
chan peer[3] = [2] of { byte };

inline count_notes(p, n) {
  n = 0;
  if :: note[0] == p + 1 -> n++ :: else -> skip fi;
  if :: note[1] == p + 1 -> n++ :: else -> skip fi;
  if :: note[2] == p + 1 -> n++ :: else -> skip fi;
  if :: note[3] == p + 1 -> n++ :: else -> skip fi
}

proctype Publisher(byte p) {
  byte base, mine;
  bool answered;
  atomic { !down -> base = head }
again:
  answered = false;
  atomic {
    !down ->
#ifdef NO_SWAP
    note[base] = p + 1; head = base + 1;
    answered = true; outcome[p] = 1
#else
    if
    :: head == base ->
       note[base] = p + 1; head = base + 1;
       if
       :: lost_answers_left > 0 -> lost_answers_left--; answered = false
       :: answered = true; outcome[p] = 1
       fi
    :: head != base -> answered = false
    fi
#endif
  };
  if
  :: answered -> goto done
  :: else -> skip
  fi;
  /* The head has changed, or the answer was lost. */
  atomic {
    !down ->
#ifdef NO_READBACK
    base = head;
    if :: base < MAX_NOTES -> goto again :: else -> goto done fi
#else
    count_notes(p, mine);
    if
    :: mine > 0 -> outcome[p] = 1
    :: mine == 0 && head != base -> outcome[p] = 2
    :: mine == 0 && head == base -> goto again
    fi
#endif
  };
done:
  atomic {
    count_notes(p, mine);
    assert(mine <= 1);   /* accepted at most once */
    assert(outcome[p] != 1 || mine == 1);   /* an accepted note is not lost */
    assert(outcome[p] != 2 || mine == 0)   /* a refused note is not in the head */
  }
}

inline learn_revision(i, revision) {
#ifdef NO_MAXIMUM
  revision_at[i] = revision;
#else
  if
  :: revision > revision_at[i] -> revision_at[i] = revision
  :: else -> skip
  fi;
#endif
  assert(revision_at[i] >= highest[i]);   /* a revision never decreases */
  highest[i] = revision_at[i]
}

proctype Daemon(byte i) {
  byte revision;
end:
  do
  :: atomic { i == 0 && !down && revision_at[0] < head -> learn_revision(0, head) }
  :: atomic { peer[i]??[revision] -> peer[i]??revision; learn_revision(i, revision); revision = 0 }
  :: atomic { i < 2 && revision_at[i] > revision_at[i + 1] && !(cut && i == 1) && nfull(peer[i + 1]) ->
       if
       :: peer[i + 1]!revision_at[i]
       :: revision_at[i] > 1 -> peer[i + 1]!revision_at[i] - 1   /* a stale revision */
       fi }
  od
}

proctype Faults() {
end:
  do
  :: atomic { outages_left > 0 -> outages_left--; down = true }
  :: atomic { down -> down = false }
  :: atomic { cuts_left > 0 -> cuts_left--; cut = true }
  :: atomic { cut -> cut = false }
  od
}

/* When no other step is possible, the latest revision is known at every daemon
 * that it can reach. */
proctype Watch() {
end:
  timeout ->
  assert(down || revision_at[0] == head);
  assert(down || cut || (revision_at[1] == head && revision_at[2] == head))
}

init {
  atomic {
    run Publisher(0); run Publisher(1);
    run Daemon(0); run Daemon(1); run Daemon(2);
    run Faults(); run Watch()
  }
}
