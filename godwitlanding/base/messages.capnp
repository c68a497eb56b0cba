@0xd1f0a6c35b7e2c41;

# One frame between two processes of the system. A message with id 0 expects
# no response; a response has the id of its request and `answer` set.
struct Message {
  id @0 :UInt64;
  answer @1 :Bool;
  union {
    hello @2 :Hello;
    failure @3 :Failure;
    ack @4 :Ack;
    subscribe @5 :Subscribe;
    state @6 :State;
    fetch @7 :Fetch;
    heartbeat @8 :Heartbeat;
    acquire @9 :Acquire;
    granted @10 :Granted;
    passOn @11 :PassOn;
    refused @12 :Refused;
    release @13 :Release;
    withdraw @14 :Withdraw;
    holdings @15 :Holdings;
    held @16 :Held;
    loan @17 :Loan;
    lent @18 :Lent;
    giveBack @19 :GiveBack;
    poison @20 :Poison;
    signal @21 :Signal;
    follow @22 :Follow;
    update @23 :Update;
    sign @24 :Sign;
    piece @25 :Piece;
  }
}

struct Hello {
  protocol @0 :UInt32;
  role @1 :Text;
  vm @2 :Text;
  availabilityZone @3 :Text;
  incarnation @4 :Text;
  acceptsPieces @5 :Bool;
}

struct Failure {
  code @0 :UInt32;
  detail @1 :Text;
}

struct Ack {}

# Requests a push of every versioned object of the kinds, now and on change.
struct Subscribe {
  kinds @0 :List(Text);
}

# A versioned object; the receiver keeps the highest version of (kind, name).
struct State {
  kind @0 :Text;
  name @1 :Text;
  version @2 :UInt64;
  body @3 :Data;
}

struct Fetch {
  kind @0 :Text;
  name @1 :Text;
}

struct VersionOf {
  kind @0 :Text;
  name @1 :Text;
  version @2 :UInt64;
}

struct Heartbeat {
  vm @0 :Text;
  incarnation @1 :Text;
  leaving @2 :Bool;
  versions @3 :List(VersionOf);
  entryIncarnation @4 :Text;
  platformReachable @5 :Bool;
  address @6 :Text;
}

struct Acquire {
  service @0 :Text;
  requestId @1 :Text;
  caller @2 :Text;
  priority @3 :UInt8;
  remainingS @4 :Float64;
  fingerprint @5 :UInt64;
  excludedUpstreams @6 :List(Text);
  arrivedFromZone @7 :Text;
  attempt @8 :UInt32;
  mayPassOn @9 :Bool;
}

struct Granted {
  permitId @0 :UInt64;
  upstream @1 :Text;
  address @2 :Text;
  validS @3 :Float64;
  arbiter @4 :Text;
  waitedS @5 :Float64;
}

struct PassOn {
  availabilityZone @0 :Text;
  validS @1 :Float64;
  waitedS @2 :Float64;
}

struct Refused {
  code @0 :UInt32;
  retryAfterS @1 :Float64;
  waitedS @2 :Float64;
  detail @3 :Text;
}

struct Release {
  permitId @0 :UInt64;
  upstream @1 :Text;
  arbiter @2 :Text;
  outcome @3 :Text;
  tookS @4 :Float64;
  fingerprint @5 :UInt64;
}

struct Withdraw {
  service @0 :Text;
  requestId @1 :Text;
}

# A new arbiter asks a holder for its open permits on these upstreams. From
# then on the holder accepts grants on them from this arbiter only.
struct Holdings {
  arbiter @0 :Text;
  service @1 :Text;
  upstreams @2 :List(Text);
}

struct HeldPermit {
  permitId @0 :UInt64;
  upstream @1 :Text;
  validS @2 :Float64;
}

struct Held {
  permits @0 :List(HeldPermit);
}

# An entry process that may hold permits.
struct Holder {
  vm @0 :Text;
  incarnation @1 :Text;
}

struct Loan {
  arbiter @0 :Text;
  service @1 :Text;
  holders @2 :List(Holder);
  holding @3 :List(Text);
  number @4 :UInt64;
}

# The former arbiter of an upstream is the one that borrowed it last, "none"
# if no permit can be open, or empty if the owner does not know it.
struct Lent {
  upstreams @0 :List(Text);
  validS @1 :Float64;
  formerArbiters @2 :List(Text);
  holders @3 :List(Holder);
}

struct GiveBack {
  arbiter @0 :Text;
  service @1 :Text;
  number @2 :UInt64;
}

struct Poison {
  fingerprint @0 :UInt64;
  upstream @1 :Text;
  crashes @2 :UInt32;
  ageS @3 :Float64;
}

# State of an upstream as reported by an entry process: draining, shed, ready.
struct Signal {
  upstream @0 :Text;
  state @1 :Text;
}

# Requests all changes of the kinds since the given positions, and future ones.
struct Follow {
  positions @0 :List(Position);
}

# The sender has all changes of a kind up to this revision of the store.
struct Position {
  kind @0 :Text;
  revision @1 :UInt64;
  # Number of objects held.
  objects @2 :UInt32;
  order @3 :UInt64;
}

# Changes of the objects of a kind. A whole update may be split into parts, the
# final one of which has `last` set; objects in none of the parts are deleted.
struct Update {
  kind @0 :Text;
  revision @1 :UInt64;
  whole @2 :Bool;
  last @3 :Bool;
  objects @4 :List(HeldObject);
  removed @5 :List(Text);
  # Revision of the last change of the kind.
  changedAt @6 :UInt64;
}

struct HeldObject {
  name @0 :Text;
  version @1 :UInt64;
  value @2 :Data;
  created @3 :UInt64;
}

# A keep-alive message; `reads` is set if the sender reads the store itself.
struct Sign {
  reads @0 :Bool;
}

# A part of a message too long for one frame. The data of a stream's pieces is
# an encoded message, deflated as one; `callId` is the call that it answers.
struct Piece {
  stream @0 :UInt64;
  callId @1 :UInt64;
  last @2 :Bool;
  data @3 :Data;
}
