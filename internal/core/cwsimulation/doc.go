// Package cwsimulation tests the guarantees of the core under failures, in a deterministic
// simulation. It has tests only.
//
// The simulation runs on virtual time. It has one group of three fake databases, a fake
// table, and three proxies, which use the same decision code as the daemon. A test
// derives a schedule of faults from a seed: killed and frozen processes, cut network
// paths, slow replicas, lost responses, an unavailable table, and proxies that pause
// during a failover. After all faults have ended, the test compares the answers that
// callers received with the logs of the databases.
package cwsimulation
