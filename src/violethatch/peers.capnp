# SPDX-License-Identifier: MIT
# What entry instances say to each other.
@0xdbb9ad1f14bf0b36;

struct Beat {
  instanceId @0 :Text;
  availabilityZone @1 :Text;
  incarnation @2 :UInt64;
  counter @3 :UInt64;
  revision @4 :UInt64;
  leaving @5 :Bool;
}

struct Hello {
  instanceId @0 :Text;
  nonce @1 :Data;
  proof @2 :Data;
}

struct Message {
  union {
    # The callee's first message: a nonce.
    challenge @0 :Data;
    # The caller's first message, and the callee's proof in answer.
    hello @1 :Hello;
    welcome @2 :Data;
    # Heartbeats, answered with the callee's.
    beats @3 :List(Beat);
    # Asks for the revision in force; answered with it.
    fetch @4 :Void;
    # A revision as JSON; as a request it is an offer.
    revision @5 :Data;
    # The offer was looked at.
    taken @6 :Void;
    # The number of an error.
    refused @7 :UInt16;
    # Conditional writes to be done for the caller, as JSON; their replies.
    write @8 :Data;
    written @9 :Data;
  }
}
