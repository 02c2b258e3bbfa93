@0xb6f1c2a9d7e35481;
# What entry VMs say to each other. One datagram holds one Envelope in packed
# encoding; bulk transfers go through the Peer interface.

struct Endpoint {
  high @0 :UInt64;
  low @1 :UInt64;
  port @2 :UInt16;
}

struct Member {
  id @0 :UInt32;
  incarnation @1 :UInt64;
  phase @2 :UInt8;
  health @3 :UInt8;
  zone @4 :UInt16;
  address @5 :Endpoint;
}

struct Mark {
  target @0 :UInt32;
  version @1 :UInt32;
  mark @2 :UInt8;
  remote @3 :Bool;
}

struct Load {
  target @0 :UInt32;
  version @1 :UInt32;
  open @2 :UInt32;
  pending @3 :UInt32;
  rate @4 :UInt32;
}

struct Gossip {
  known @0 :UInt64;
  agreed @1 :UInt64;
  view @2 :UInt64;
  members @3 :List(Member);
  marks @4 :List(Mark);
  loads @5 :List(Load);
}

struct Exception {
  flowHash @0 :UInt64;
  target @1 :UInt32;
}

struct Envelope {
  version @0 :UInt16;
  sender @1 :UInt32;
  union {
    probe :group { sequence @2 :UInt32; gossip @3 :Gossip; }
    probeAnswer :group { member @4 :UInt32; probed @5 :UInt32; news @6 :Gossip; }
    probeFor :group { third @7 :UInt32; number @8 :UInt32; }
    membersWanted :group { start @9 :UInt32; }
    members :group { first @10 :UInt32; records @11 :List(Member); more @12 :Bool; }
    known :group { revision @13 :UInt64; }
    notesWanted :group { have @14 :UInt64; }
    notes :group { notes @15 :List(Data); agreed @16 :UInt64; agesMs @32 :List(UInt64); }
    exceptionsWanted :group { slots @17 :List(UInt16); takeOver @27 :Bool; }
    exceptions :group { flows @18 :List(Exception); last @19 :Bool; tookOver @28 :Bool; }
    lookup :group { flowHash @20 :UInt64; }
    lookupAnswer :group { hash @21 :UInt64; found @22 :Bool; target @23 :UInt32; silenceMs @24 :UInt32; unanswered @33 :Bool; }
    broken :group { broken @25 :UInt64; silent @26 :UInt32; }
    revisions :group { newest @29 :UInt64; inForce @30 :UInt64; }
    marks :group { urgent @31 :List(Mark); }
    partWanted :group { number @34 :UInt32; }
    part :group { part @35 :Data; agreed @36 :UInt64; }
  }
}

interface Peer {
  # Carries one packed Envelope that is too large for a datagram.
  deliver @0 (envelope :Data) -> ();
}
