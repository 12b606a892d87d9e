// Package cicadawalk offers the coordination parts of the proxy to programs
// that embed them.
//
// The parts decide and do no I/O. They take immutable views of a group of
// replicated databases, events and the present time, and return typed
// decisions; the program around them owns sockets, goroutines and the clock.
//
// A group has members, one of which leads a Term. A Mark is a place in its log.
// What a program knows about a group is a View, made of a Report for each
// member:
//
//   - A Tracker decides when a write may be acknowledged: once a majority holds
//     its record at the primary's own term.
//   - A Token carries what a session has seen, and a Router places a read at a
//     member that has it.
//   - A Supervisor decides when a primary is replaced and returns the orders
//     that do it, one step at a time.
//   - Shares, Gate and Budget keep connections scarce and overload short.
//
// The example shows them together on a group of three.
package cicadawalk

import (
	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
	"cicadawalk.example/cicadawalk/internal/core/cwsession"
)

// What a group of databases is, and what is known of it.
type (
	// Term counts the changes of primary of a group.
	Term = cwgroup.Term
	// Position counts the records of a log.
	Position = cwgroup.LogIndex
	// Mark is a place in a group's log.
	Mark = cwgroup.LogPosition
	// MemberID names a database.
	MemberID = cwgroup.MemberID
	// Role is what a member does in its group.
	Role = cwgroup.Role
	// Status is what a member reports about itself.
	Status = cwgroup.Status
	// Report is a status with the time at which it was received.
	Report = cwgroup.Report
	// View is what a program knows about a group. It is immutable.
	View = cwgroup.View
)

// The roles of a member.
const (
	Replica = cwgroup.RoleReplica
	Primary = cwgroup.RolePrimary
	Fenced  = cwgroup.RoleFenced
)

// NewView returns a view of a group whose members are not heard of yet.
func NewView(group string, members []MemberID) View { return cwgroup.NewView(group, members) }

// Acknowledgement of writes.
type (
	// Tracker holds the writes that wait for a majority.
	Tracker = cwack.Tracker
	// Wait is one write that waits.
	Wait = cwack.PendingWrite
	// Outcome is how a wait ended.
	Outcome = cwack.Outcome
)

// The outcomes of a wait.
const (
	Pending      = cwack.Pending
	Acknowledged = cwack.Acknowledged
	Superseded   = cwack.Superseded
	TimedOut     = cwack.TimedOut
)

// Sessions and the placing of reads.
type (
	// Token is what a session has seen. It is immutable.
	Token = cwsession.Token
	// Floor is the lowest mark that may serve a session's reads.
	Floor = cwsession.Floor
	// Read is one read to be placed.
	Read = cwroute.Read
	// Candidate describes one member to the router.
	Candidate = cwroute.Candidate
	// Decision is what to do with a read.
	Decision = cwroute.Decision
	// ToPrimary sends a read that no replica can serve to the primary.
	ToPrimary = cwroute.PrimaryFallback
	// WaitUpTo lets such a read wait for a replica.
	WaitUpTo = cwroute.BoundedWait
	// Router places reads by a policy.
	Router[P cwroute.Policy] = cwroute.Router[P]
)

// ParseToken reads a token that came from outside.
func ParseToken(text string) (Token, error) { return cwsession.ParseToken(text) }

// FloorOf returns the floor that a token gives in a group.
func FloorOf(t Token, group string) Floor { return cwsession.FloorOf(t, group) }

// WritePrimary returns the member that takes writes, or false if a write could
// not be acknowledged now.
var WritePrimary = cwroute.WritablePrimary

// Failover.
type (
	// Supervisor decides when a primary is replaced.
	Supervisor = cwfailover.Supervisor
	// Conditions are what a supervisor needs to know of the world.
	Conditions = cwfailover.TickInputs
	// Order is something to be sent for a supervisor.
	Order = cwfailover.Command
	// Event is the answer to an order.
	Event = cwfailover.Response
	// Vote is what one watcher says about a primary.
	Vote = cwfailover.Vote
	// Result is how a change of primary ended.
	Result = cwfailover.Result
)

// NewSupervisor returns a supervisor of a group that nothing is known of yet.
var NewSupervisor = cwfailover.NewSupervisor

// Limits.
type (
	// Shares is what the limit of a target leaves each of its holders.
	Shares = cwlimit.ConnectionShares
	// Held is the share of one target that a proxy acts on.
	Held = cwlimit.DelayedShare
	// Gate admits statements to one target.
	Gate = cwlimit.AdmissionQueue
	// Ticket is one statement's place at a gate.
	Ticket = cwlimit.Ticket
	// Budget bounds retries.
	Budget = cwlimit.RetryBudget
	// Refusal is the final answer to a request that was given up on.
	Refusal = cwrefusal.Refusal
)
