/*
 * Copies of one opening over two entry VMs and two targets, with cookies.
 *
 * The caller sends an opening and up to two copies. Any entry VM may take a
 * copy; one that placed an earlier opening picks the other target. Each target
 * answers at any time or never. The caller opens the flow at the target of
 * the first answer and from then on sends the cookie of the last answer that
 * it got; a packet of the target brings its own cookie back.
 *
 * An entry VM holds a flow at the target that the first packet after the
 * opening named. Checked: every packet of the open flow goes to its target.
 *
 * NO_HOLD       entry VMs follow each packet's cookie; fails
 * ROTATE_LATE   the routers may also change the entry VM right before or after a
 *               late answer, before the new one has seen a packet of the flow
 *               with its own cookie; fails, and is the case that
 *               docs/design/platform.md says is not covered
 */

#ifdef ROTATE_LATE
#define MAY_ANSWER true
#define MAY_ROTATE true
#else
#define MAY_ANSWER (opened == 0 || held[vm] != 0)
#define MAY_ROTATE (cookie == opened)
#endif

#define COPIES 2
#define PACKETS 4

byte opened = 0;       /* the target at which the flow is open */
byte cookie = 0;       /* what the caller sends */
byte vm = 0;           /* where the routers send its packets */
byte placed[2];        /* where an entry VM placed the latest opening */
byte held[2];          /* the target at which an entry VM holds the flow */
byte answers[3];       /* answers of a target that are under way */
byte copies = 0;
byte packets = 0;
byte to;

inline pass() {
  to = cookie;
  if
  :: held[vm] == 0 -> held[vm] = cookie
  :: else ->
#ifndef NO_HOLD
    to = held[vm]
#else
    skip
#endif
  fi;
  assert(to == opened);
  packets++
}

inline answer(target) {
  answers[target]--;
  cookie = target;
  if
  :: opened == 0 -> opened = target; pass()
  :: else -> skip
  fi
}

inline place() {
  if
  :: placed[vm] != 0 -> to = 3 - placed[vm]
  :: else -> if :: to = 1 :: to = 2 fi
  fi;
  placed[vm] = to;
  answers[to]++
}

active proctype world() {
  atomic { place() }
  do
  :: atomic { opened == 0 && copies < COPIES -> copies++; place() }
  :: atomic { opened == 0 -> vm = 1 - vm }
  :: atomic { answers[1] > 0 && MAY_ANSWER -> answer(1) }
  :: atomic { answers[2] > 0 && MAY_ANSWER -> answer(2) }
  :: atomic { answers[1] > 0 -> answers[1]-- }
  :: atomic { answers[2] > 0 -> answers[2]-- }
  :: atomic { opened != 0 && packets < PACKETS -> pass() }
  :: atomic { opened != 0 -> cookie = opened }
  :: atomic { opened != 0 && MAY_ROTATE -> vm = 1 - vm }
  :: opened != 0 && packets == PACKETS -> break
  od
}
