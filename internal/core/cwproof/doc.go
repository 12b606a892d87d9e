// Package cwproof proves the promises of the core under failure. It has tests
// only.
//
// A world of a few small fakes runs on virtual time: one group of three fake
// databases, a fake table, and the decision parts of three proxies, the same
// code that the daemon runs. A test draws a schedule of failures from a seed
// and lets the world run: kills, freezes, cuts between any two, slow replicas,
// lost answers, a table that is away, keepers that pause. Then everything is
// healed, and the ledger of what callers were told is held against the logs.
package cwproof
