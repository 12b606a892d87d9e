// Package cwhandover carries statements between instances: JSON-RPC 2.0 over
// TCP.
//
// An instance hands a caller's statement to a holder of the group and gets the
// answer, or the sign that the holder has not run it. Many statements are under
// way on one connection. There are four calls: hand; ping, by which the calling
// side tells a connection that went silent from a statement that takes long;
// news, which asks what the platform's store has told; and quota, which asks for
// one operation of a workspace.
package cwhandover

import (
	"encoding/json"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Methods.
const (
	methodHand = "hand"
	methodPing = "ping"
	methodNews = "news"
	// methodQuota asks for one operation of a workspace.
	methodQuota = "quota"
)

type handBody struct {
	Transaction string            `json:"transaction,omitempty"`
	Begin       string            `json:"begin,omitempty"`
	Entry       entryBody         `json:"entry"`
	Workspace   string            `json:"workspace,omitempty"`
	ID          string            `json:"id"`
	Verb        string            `json:"verb"`
	Text        string            `json:"text,omitempty"`
	Name        string            `json:"name,omitempty"`
	Rest        string            `json:"rest,omitempty"`
	Prepared    *preparedBody     `json:"prepared,omitempty"`
	Values      map[string]string `json:"values,omitempty"`
	Seen        markBody          `json:"seen,omitzero"`
	ElapsedUS   int64             `json:"elapsedUs,omitempty"`
}

type preparedBody struct {
	Shape  string `json:"shape"`
	Writes bool   `json:"writes,omitempty"`
}

type entryBody struct {
	Service     string `json:"service"`
	Group       string `json:"group"`
	Reads       string `json:"reads,omitempty"`
	TimeoutUS   int64  `json:"timeoutUs,omitempty"`
	MaxAgeUS    int64  `json:"maxAgeUs,omitempty"`
	AimUS       int64  `json:"aimUs,omitempty"`
	Priority    int    `json:"priority,omitempty"`
	Synchronous bool   `json:"synchronous,omitempty"`
	IdleUS      int64  `json:"idleUs,omitempty"`
}

type markBody struct {
	Term     uint64 `json:"term"`
	Position uint64 `json:"position"`
}

type handedBody struct {
	Rows      []string `json:"rows,omitempty"`
	Proof     string   `json:"proof,omitempty"`
	Code      string   `json:"code"`
	Detail    string   `json:"detail,omitempty"`
	State     string   `json:"state"`
	Wrote     markBody `json:"wrote,omitzero"`
	Elsewhere bool     `json:"elsewhere,omitempty"`
}

// UnreadableError reports a message that makes no sense.
type UnreadableError struct{ What string }

func (e *UnreadableError) Error() string { return "unreadable handover: " + e.What }

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func markOf(b markBody) cwgroup.LogPosition {
	return cwgroup.LogPosition{Term: cwgroup.Term(b.Term), Index: cwgroup.LogIndex(b.Position)}
}

func bodyOfMark(m cwgroup.LogPosition) markBody {
	return markBody{Term: uint64(m.Term), Position: uint64(m.Index)}
}

func bodyOfHand(h cwport.Handover) handBody {
	c := h.Entry.Contract
	b := handBody{
		Transaction: h.Transaction, Begin: h.Begin.String(),
		Entry: entryBody{
			Service: h.Entry.Service, Group: h.Entry.Groups[0].Name, Reads: string(c.Reads), TimeoutUS: c.StatementTimeout.Microseconds(),
			MaxAgeUS: c.MaxAge.Microseconds(), AimUS: c.Aim.Microseconds(), Priority: c.Priority,
			Synchronous: c.Synchronous, IdleUS: c.IdleTransaction.Microseconds(),
		},
		Workspace: h.Workspace, ID: h.Statement.ID, Verb: h.Statement.Verb.String(), Text: h.Statement.Text, Name: h.Statement.Name, Rest: h.Statement.Args,
		Values: h.Values, Seen: bodyOfMark(h.Seen), ElapsedUS: h.Elapsed.Microseconds(),
	}
	if h.Prepared != nil {
		b.Prepared = &preparedBody{Shape: h.Prepared.Shape, Writes: h.Prepared.Writes}
	}
	return b
}

// handOf reads a statement that was handed over.
func handOf(params []byte) (cwport.Handover, error) {
	var b handBody
	if err := json.Unmarshal(params, &b); err != nil {
		return cwport.Handover{}, &UnreadableError{What: err.Error()}
	}
	verb, begin := cwstatement.ParseVerb(b.Verb), cwstatement.ParseVerb(b.Begin)
	switch {
	case !runs(verb):
		return cwport.Handover{}, &UnreadableError{What: "verb " + b.Verb}
	case begin != cwstatement.UnknownVerb && begin != cwstatement.Begin && begin != cwstatement.BeginRead:
		return cwport.Handover{}, &UnreadableError{What: "begin " + b.Begin}
	case b.Entry.Group == "":
		return cwport.Handover{}, &UnreadableError{What: "no group"}
	case verb == cwstatement.Execute && b.Prepared == nil:
		return cwport.Handover{}, &UnreadableError{What: "no prepared statement"}
	}
	h := cwport.Handover{
		Transaction: b.Transaction, Begin: begin, Entry: entryOf(b.Entry), Workspace: b.Workspace,
		Statement: cwstatement.Statement{ID: b.ID, Verb: verb, Text: b.Text, Name: b.Name, Args: b.Rest},
		Values:    b.Values, Seen: markOf(b.Seen), Elapsed: micros(b.ElapsedUS),
	}
	if b.Prepared != nil {
		h.Prepared = &cwport.Prepared{Shape: b.Prepared.Shape, Writes: b.Prepared.Writes}
	}
	return h, nil
}

// runs reports whether a statement is one that holders run.
func runs(v cwstatement.Verb) bool {
	switch v {
	case cwstatement.Read, cwstatement.Write, cwstatement.Execute, cwstatement.Commit, cwstatement.Rollback:
		return true
	}
	return false
}

func entryOf(b entryBody) cwcatalogue.Entry {
	return cwcatalogue.Entry{
		Service: b.Service,
		Groups:  []cwcatalogue.Group{{Name: b.Group}},
		Contract: cwcatalogue.Contract{
			Reads: cwcatalogue.ReadConsistency(b.Reads), StatementTimeout: micros(b.TimeoutUS), MaxAge: micros(b.MaxAgeUS),
			Aim: micros(b.AimUS), Priority: b.Priority, Synchronous: b.Synchronous, IdleTransaction: micros(b.IdleUS),
		},
	}
}

func bodyOfHanded(r cwport.Handed) handedBody {
	a := r.Answer
	return handedBody{
		Rows: a.Rows, Proof: a.Proof, Code: a.Code.String(), Detail: a.Detail, State: a.State.String(),
		Wrote: bodyOfMark(r.Wrote), Elsewhere: r.Elsewhere,
	}
}

func (b handedBody) handed() (cwport.Handed, error) {
	state, ok := cwstatement.ParseState(b.State)
	if !ok {
		return cwport.Handed{}, &UnreadableError{What: "state " + b.State}
	}
	return cwport.Handed{
		Answer: cwstatement.Response{Rows: b.Rows, Proof: b.Proof, Code: cwstatement.ParseCode(b.Code), Detail: b.Detail, State: state},
		Wrote:  markOf(b.Wrote), Elsewhere: b.Elsewhere,
	}, nil
}
