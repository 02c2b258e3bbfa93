/*
 * Copies of one opening at two entry VMs and two targets, with cookies.
 *
 * The caller sends an opening and up to two copies of it. Each copy may reach
 * either entry VM; an entry VM that placed an earlier opening picks the other
 * target. Each target may answer at any time or not at all. The caller opens
 * the flow at the target whose answer arrives first, and then sends the cookie
 * of the latest answer that it received; a packet from the target restores the
 * target's own cookie.
 *
 * An entry VM pins a flow to the target named by the first packet after the
 * opening. Checked property: every packet of the open flow reaches the target
 * at which the flow is open.
 *
 * Macros:
 *   NO_HOLD      entry VMs follow the cookie of each packet and pin no flow;
 *                the property is violated
 *   ROTATE_LATE  the routers may also change the entry VM immediately before
 *                or after a late answer, before the new entry VM has received
 *                a packet of the flow with the cookie of the flow's own target;
 *                the property is violated (docs/design/platform.md states that
 *                this case is not covered)
 */

#ifdef ROTATE_LATE
#define MAY_ANSWER true
#define MAY_ROTATE true
#else
#define MAY_ANSWER (open_target == 0 || pinned[vm] != 0)
#define MAY_ROTATE (cookie == open_target)
#endif

#define COPIES 2
#define PACKETS 4

byte open_target = 0;         /* target at which the flow is open, 0 for none */
byte cookie = 0;              /* target named by the cookie that the caller sends */
byte vm = 0;                  /* entry VM to which the routers send the flow */
byte placed[2];               /* target at which an entry VM placed the latest opening */
byte pinned[2];               /* target to which an entry VM has pinned the flow */
byte answers_in_flight[3];    /* by target */
byte copies_sent = 0;
byte packets_sent = 0;
byte destination;

inline forward_packet() {
  destination = cookie;
  if
  :: pinned[vm] == 0 -> pinned[vm] = cookie
  :: else ->
#ifndef NO_HOLD
    destination = pinned[vm]
#else
    skip
#endif
  fi;
  assert(destination == open_target);
  packets_sent++
}

inline receive_answer(target) {
  answers_in_flight[target]--;
  cookie = target;
  if
  :: open_target == 0 -> open_target = target; forward_packet()
  :: else -> skip
  fi
}

inline place_opening() {
  if
  :: placed[vm] != 0 -> destination = 3 - placed[vm]
  :: else -> if :: destination = 1 :: destination = 2 fi
  fi;
  placed[vm] = destination;
  answers_in_flight[destination]++
}

active proctype world() {
  atomic { place_opening() }
  do
  :: atomic { open_target == 0 && copies_sent < COPIES -> copies_sent++; place_opening() }
  :: atomic { open_target == 0 -> vm = 1 - vm }
  :: atomic { answers_in_flight[1] > 0 && MAY_ANSWER -> receive_answer(1) }
  :: atomic { answers_in_flight[2] > 0 && MAY_ANSWER -> receive_answer(2) }
  :: atomic { answers_in_flight[1] > 0 -> answers_in_flight[1]-- }
  :: atomic { answers_in_flight[2] > 0 -> answers_in_flight[2]-- }
  :: atomic { open_target != 0 && packets_sent < PACKETS -> forward_packet() }
  :: atomic { open_target != 0 -> cookie = open_target }
  :: atomic { open_target != 0 && MAY_ROTATE -> vm = 1 - vm }
  :: open_target != 0 && packets_sent == PACKETS -> break
  od
}
