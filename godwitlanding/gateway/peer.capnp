@0xc3a1f2b7d5e84960;

# What a VM tells its peers in one datagram. Everything in it is the whole
# present state, so that a lost or late datagram is made good by the next.
struct Bulletin {
  vm @0 :Text;
  # Drawn anew at each start of the process.
  incarnation @1 :UInt64;
  # Grows with each datagram of an incarnation.
  sequence @2 :UInt64;
  region @3 :Text;
  availabilityZone @4 :Text;
  ready @5 :Bool;
  leaving @6 :Bool;
  inProgress @7 :List(UpstreamCount);
  arrivals @8 :List(ServiceRate);
  crashes @9 :List(Crash);
  linkMbps @10 :Float32;
  cores @11 :Float32;
}

struct UpstreamCount {
  upstream @0 :Text;
  count @1 :UInt16;
}

# Requests for a service that callers sent to this VM, each second.
struct ServiceRate {
  service @0 :Text;
  perSecond @1 :Float32;
}

# A request that was running on an upstream when that one crashed.
struct Crash {
  fingerprint @0 :UInt64;
  upstream @1 :Text;
}

# Everything that a VM knows of the store, for a peer that starts while the
# store is away.
struct Handover {
  objects @0 :List(HeldObject);
}

struct HeldObject {
  kind @0 :Text;
  name @1 :Text;
  version @2 :UInt64;
  value @3 :Data;
}
