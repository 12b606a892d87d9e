// Package cicadawalk exports the decision logic of the proxy for programs that embed it.
//
// The types of this package make decisions and do no I/O. They take immutable views of a
// group of replicated databases, events and the current time, and return typed decisions.
// The embedding program owns sockets, goroutines and the clock.
//
// A group has members, one of which is the primary of the current Term. A LogPosition is a
// position in the replicated log: a term and a number of records. A View is what a program
// knows about a group; it consists of one Report for each member.
//
//   - A Tracker decides when a write may be acknowledged: once a majority of the members
//     has its record at the primary's own term.
//   - A Token carries the log positions that a session has seen, and a Router selects a
//     member for a read that has them.
//   - A Supervisor decides when a primary is replaced, and returns the commands that carry
//     out the change, one step at a time.
//   - ConnectionShares divides the connections of a target between proxies, AdmissionQueue
//     limits and queues the statements in progress at a target, and RetryBudget limits
//     retries, so that retries do not make an overload worse.
//
// The example uses them together on a group of three members.
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

// Groups of databases, and what is known about them.
type (
	// Term is the number of a primary's term. Each change of the primary begins a
	// higher term.
	Term = cwgroup.Term
	// LogIndex is a number of records in a log.
	LogIndex = cwgroup.LogIndex
	// LogPosition is a position in a group's log, with the term of its last record.
	LogPosition = cwgroup.LogPosition
	// MemberID is the id of a database.
	MemberID = cwgroup.MemberID
	// Role is the role of a member in its group.
	Role = cwgroup.Role
	// Status is the state that a member reports.
	Status = cwgroup.Status
	// Report is a Status with the time at which it was received.
	Report = cwgroup.Report
	// View is the state of a group as a program knows it. It is immutable.
	View = cwgroup.View
)

// Roles of a member.
const (
	// Replica is a member that receives the primary's log.
	Replica = cwgroup.RoleReplica
	// Primary is the member that accepts writes.
	Primary = cwgroup.RolePrimary
	// Fenced is a member that has adopted a new term and waits until it is told
	// which primary to follow.
	Fenced = cwgroup.RoleFenced
)

// NewView returns a view of a group without reports of its members.
func NewView(group string, members []MemberID) View { return cwgroup.NewView(group, members) }

// Acknowledgement of writes.
type (
	// Tracker holds the writes that wait until a majority has their record.
	Tracker = cwack.Tracker
	// PendingWrite is one write that waits for its acknowledgement.
	PendingWrite = cwack.PendingWrite
	// Outcome is the result of a PendingWrite.
	Outcome = cwack.Outcome
)

// Outcomes of a PendingWrite.
const (
	// Pending means that the write still waits.
	Pending = cwack.Pending
	// Acknowledged means that a majority has the record.
	Acknowledged = cwack.Acknowledged
	// Superseded means that the primary was replaced before a majority had the record.
	// The record may have been lost or not.
	Superseded = cwack.Superseded
	// TimedOut means that the deadline passed before a majority had the record. The
	// record may survive.
	TimedOut = cwack.TimedOut
)

// Sessions and the routing of reads.
type (
	// Token has the log positions that a session has seen. It is immutable.
	Token = cwsession.Token
	// Floor is the lowest log position that a member must have applied to serve a
	// session's reads.
	Floor = cwsession.Floor
	// Read is a read to be routed, with its requirements.
	Read = cwroute.Read
	// Candidate is a member that a Router may select.
	Candidate = cwroute.Candidate
	// Decision is the member that a read is sent to, the time that it waits, or its
	// refusal.
	Decision = cwroute.Decision
	// PrimaryFallback is the policy that sends a read which no replica can serve yet to
	// the primary.
	PrimaryFallback = cwroute.PrimaryFallback
	// BoundedWait is the policy that lets such a read wait for a replica, up to a
	// duration.
	BoundedWait = cwroute.BoundedWait
	// Router selects members for reads, with a policy for reads that no replica can
	// serve yet.
	Router[P cwroute.Policy] = cwroute.Router[P]
)

// ParseToken parses a token from an untrusted source.
func ParseToken(text string) (Token, error) { return cwsession.ParseToken(text) }

// FloorOf returns the floor of a token in a group.
func FloorOf(t Token, group string) Floor { return cwsession.FloorOf(t, group) }

// WritablePrimary returns the member that accepts writes, or false if a write could not be
// acknowledged at present.
var WritablePrimary = cwroute.WritablePrimary

// Failover.
type (
	// Supervisor decides when a primary is replaced, and controls the change.
	Supervisor = cwfailover.Supervisor
	// TickInputs are the facts from outside of the group that a Supervisor needs for
	// a decision.
	TickInputs = cwfailover.TickInputs
	// Command is a request that the program has to send on behalf of a Supervisor.
	Command = cwfailover.Command
	// Response is the answer to a Command.
	Response = cwfailover.Response
	// Vote is the opinion of one proxy about the state of a primary.
	Vote = cwfailover.Vote
	// Result is the result of a change of the primary.
	Result = cwfailover.Result
)

// NewSupervisor returns a supervisor of a group without reports of its members.
var NewSupervisor = cwfailover.NewSupervisor

// Limits of connections, statements and retries.
type (
	// ConnectionShares divides the connection limit of a target between the proxies that
	// hold connections to it.
	ConnectionShares = cwlimit.ConnectionShares
	// DelayedShare is the share of a target's connections that a proxy uses. It falls at
	// once and rises with a delay, since the list of proxies lags.
	DelayedShare = cwlimit.DelayedShare
	// AdmissionQueue limits the statements in progress at one target, and queues others by
	// priority.
	AdmissionQueue = cwlimit.AdmissionQueue
	// Ticket is one statement in an AdmissionQueue.
	Ticket = cwlimit.Ticket
	// RetryBudget limits retries to a fraction of the requests.
	RetryBudget = cwlimit.RetryBudget
	// Refusal is the final answer to a request that the proxy does not serve.
	Refusal = cwrefusal.Refusal
)
