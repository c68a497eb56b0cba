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
  ready @4 :Bool;
  leaving @5 :Bool;
  linkMbps @6 :Float32;
  cores @7 :Float32;
  # Pairs of 32-bit little-endian numbers: an upstream's number (see
  # ``decisions.occupancy``), and the requests in progress there. A list of
  # structs takes four times the bytes and ten times the time.
  inProgress @8 :Data;
  arrivals @9 :List(ServiceRate);
  crashes @10 :List(Crash);
  # Other regions, as they told this VM themselves, or the VM's own region
  # in what it sends to others.
  digests @11 :List(Digest);
  # Whether the VM reads the store, and whether the store does not answer it.
  reads @12 :Bool;
  failed @13 :Bool;
  # Revision of the last change that the VM knows of each kind of object, by
  # kind in alphabetical order.
  changedAt @14 :List(UInt64);
  # Pairs of 32-bit little-endian numbers, as above: an upstream's, that of its
  # present start, and an object's that it got (see ``decisions.objectmap``).
  met @15 :Data;
  # Whether the VM tells its whole region that it lives.
  active @16 :Bool;
  # Triples of 32-bit little-endian numbers: a workspace's, and how many of
  # its requests the VM has sent and has been asked for since its start.
  tallies @17 :Data;
  # VMs of the own region that this one hears, itself included.
  heard @18 :UInt32;
  # Whether the tallies are all that the VM has.
  tellsAll @19 :Bool;
  # Pairs of a workspace's number and a 32-bit little-endian float: what is
  # left of its allotment in the region, as the VM sees it.
  levels @20 :Data;
  # Upstreams that have named a limit, each as 14 bytes: its number, a 32-bit
  # float of what it said to the VM itself (negative: no limit any more), 16
  # bits of how many milliseconds ago (all set: it said nothing), and 32 bits
  # of how many requests the VM has sent there.
  limits @21 :Data;
  # Numbers, as above, of upstreams that have said that they leave, though
  # their entries in the store do not say so.
  leavingUpstreams @22 :Data;
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

# A region as its representatives see it.
struct Digest {
  region @0 :Text;
  # VMs that serve callers.
  vms @1 :UInt32;
  # Where callers connect to those that carry most, as IP number and port.
  carriers @2 :List(Text);
  arrivals @3 :List(ServiceRate);
  crashes @4 :List(Crash);
  # IP number of a VM that knows the store's state, and up to which revision,
  # as above.
  source @5 :Text;
  changedAt @6 :List(UInt64);
  # As in the bulletin, what the VMs of the region told lately.
  met @7 :Data;
  # Pairs of a workspace's number and a 32-bit little-endian float: requests a
  # second that the region's callers ask for. In every other digest.
  asked @8 :Data;
  # Pairs of an upstream's number and a 32-bit little-endian float: the limit
  # that it has named.
  limited @9 :Data;
  # As in the bulletin.
  leavingUpstreams @10 :Data;
}
