@0xc3a1f2b7d5e84960;

# State of a VM, sent to its peers in one datagram. It holds the full current
# state rather than a difference, so the next datagram makes up for a lost or
# late one.
struct GossipMessage {
  vm @0 :Text;
  # Random number, chosen at each start of the process.
  incarnation @1 :UInt64;
  # Increases with each datagram of an incarnation.
  sequence @2 :UInt64;
  region @3 :Text;
  ready @4 :Bool;
  leaving @5 :Bool;
  linkMbps @6 :Float32;
  cores @7 :Float32;
  # Pairs of 32-bit little-endian integers: an upstream's number (see
  # ``decisions.occupancy``) and the requests in progress there. A list of
  # structs takes four times the bytes and ten times the time.
  inProgress @8 :Data;
  arrivals @9 :List(ServiceRate);
  # Read from older versions, which send no ``crashRows``.
  crashes @10 :List(Crash);
  # Digests of other regions, as received from those regions. In a message to
  # another region: the digest of the sender's own region.
  digests @11 :List(Digest);
  # Whether the VM reads the store, and whether its calls to the store fail.
  reads @12 :Bool;
  failed @13 :Bool;
  # Revision of the last change that the VM has received for each kind of
  # object, ordered alphabetically by kind.
  changedAt @14 :List(UInt64);
  # Cache entries, as pairs of 32-bit little-endian integers: the number of an
  # upstream's current start, and the number of an object that it has received
  # (see ``decisions.objectmap``).
  met @15 :Data;
  # Whether the VM sends heartbeats to its whole region.
  active @16 :Bool;
  # Triples of 32-bit little-endian integers: a workspace's number, and how
  # many of its requests the VM has forwarded and has received since its start.
  tallies @17 :Data;
  # Number of reachable VMs in the sender's region, the sender included.
  heard @18 :UInt32;
  # Whether the tallies are complete.
  tellsAll @19 :Bool;
  # Pairs of a workspace's number and a 32-bit little-endian float: the
  # remainder of its allotment in the region, by the sender's estimate.
  levels @20 :Data;
  # Upstreams that have set a rate limit, each as 14 bytes: its number, a
  # 32-bit float with the limit last received by the sender itself (negative:
  # limit lifted), 16 bits with its age in milliseconds (all bits set: none
  # received), and 32 bits with the number of requests sent to the upstream.
  limits @21 :Data;
  # Numbers, as above, of upstreams that have announced that they are leaving
  # while their entries in the store are not marked as leaving.
  leavingUpstreams @22 :Data;
  # Upstreams that have reported an unusual pace to the sender, each as 7
  # bytes: its number, 16 bits with the pace in hundredths, and 8 bits with
  # the age of the report in steps of 4 ms.
  paces @24 :Data;
  # Requests for services under contention, in periodic messages: per service
  # and priority 28 bytes with the service's number, the priority (signed), and
  # how many requests the VM has counted since its start: all, first attempts,
  # refused for lack of slots or late, denied, and answered in time.
  requestCounts @23 :Data;
  # Requests that have crashed upstreams, each as 14 bytes: the request's
  # fingerprint (64 bits), the upstream's number, as above, and 16 bits with the
  # age of the crash in steps of 10 ms. With the number 0, the time since the
  # request succeeded.
  crashRows @25 :Data;
  # Whether the VM can connect to upstreams: 0 if that is not known, 1 if it
  # can, 2 if it can connect to none.
  reach @26 :UInt8;
}

# Rate at which callers send requests for a service, per second.
struct ServiceRate {
  service @0 :Text;
  perSecond @1 :Float32;
}

# A request that was running on an upstream when the upstream crashed.
struct Crash {
  fingerprint @0 :UInt64;
  upstream @1 :Text;
}

# Summary of a region, made by its representatives.
struct Digest {
  region @0 :Text;
  # Number of VMs that serve callers.
  vms @1 :UInt32;
  # Addresses (IP address and port) for callers of the VMs that carry most
  # requests.
  carriers @2 :List(Text);
  arrivals @3 :List(ServiceRate);
  # Read from older versions, which send no ``crashRows``.
  crashes @4 :List(Crash);
  # IP address of a VM that holds the store's state, and the revisions it
  # holds, as above.
  source @5 :Text;
  changedAt @6 :List(UInt64);
  # Recent cache entries of the region, encoded as in ``GossipMessage``.
  met @7 :Data;
  # Pairs of a workspace's number and a 32-bit little-endian float: requests
  # per second that the region's callers send. In every other digest.
  asked @8 :Data;
  # Pairs of an upstream's number and a 32-bit little-endian float: the rate
  # limit that it has set.
  limited @9 :Data;
  # As in ``GossipMessage``.
  leavingUpstreams @10 :Data;
  crashRows @11 :Data;
  # As in ``GossipMessage``; 2 if that holds for all its VMs.
  reach @12 :UInt8;
}
