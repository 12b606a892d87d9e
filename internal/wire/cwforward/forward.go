// Package cwforward implements the protocol between instances: JSON-RPC 2.0 over
// TCP.
//
// An instance forwards a caller's statement to a holder, which is one of the
// instances that keep connections to the group's targets. The response holds the
// answer, or says that the holder did not run the statement. A connection carries
// many concurrent calls. The methods are:
//
//   - hand forwards a statement.
//   - ping checks the connection. It distinguishes an unresponsive connection from a
//     slow statement.
//   - news requests the changes that the other instance has received from the
//     platform's store.
//   - quota takes one operation from a workspace's quota.
//   - quotaReturn gives back the quota of an operation that did not run.
//   - path reports that other data centres do not answer, or answer again.
//   - members requests the other instance's reports of a group's members.
//   - demand exchanges the numbers of statements that wait and run at the members of a
//     group.
package cwforward

import (
	"encoding/json"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Names of the RPC methods.
const (
	methodForward     = "hand"
	methodPing        = "ping"
	methodNews        = "news"
	methodQuota       = "quota"
	methodQuotaReturn = "quotaReturn"
	methodPath        = "path"
	methodMembers     = "members"
	methodDemand      = "demand"
)

type statementBody struct {
	// Encoding is that of ID, Verb, Text, Name, Rest, Prepared.Shape and Values.
	Encoding    textEncoding      `json:"encoding,omitempty"`
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
	Seen        positionBody      `json:"seen,omitzero"`
	ElapsedUS   int64             `json:"elapsedUs,omitempty"`
}

type preparedBody struct {
	Shape  string `json:"shape"`
	Writes bool   `json:"writes,omitempty"`
}

type entryBody struct {
	Service   string `json:"service"`
	Group     string `json:"group"`
	Reads     string `json:"reads,omitempty"`
	TimeoutUS int64  `json:"timeoutUs,omitempty"`
	MaxAgeUS  int64  `json:"maxAgeUs,omitempty"`
	AimUS     int64  `json:"aimUs,omitempty"`
	Priority  int    `json:"priority,omitempty"`
	IdleUS    int64  `json:"idleUs,omitempty"`
}

type positionBody struct {
	Term     uint64 `json:"term"`
	Position uint64 `json:"position"`
}

type resultBody struct {
	// Encoding is that of Rows, Proof, Code and Detail.
	Encoding  textEncoding `json:"encoding,omitempty"`
	Rows      []string     `json:"rows,omitempty"`
	Proof     string       `json:"proof,omitempty"`
	Code      string       `json:"code"`
	Detail    string       `json:"detail,omitempty"`
	State     string       `json:"state"`
	Wrote     positionBody `json:"wrote,omitzero"`
	Elsewhere bool         `json:"elsewhere,omitempty"`
	Contended bool         `json:"contended,omitempty"`
	NotRun    bool         `json:"notRun,omitempty"`
	Leaving   bool         `json:"leaving,omitempty"`
}

// MalformedMessageError reports a message that is malformed or has values out of range.
type MalformedMessageError struct{ Reason string }

func (e *MalformedMessageError) Error() string { return "unreadable handover: " + e.Reason }

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func decodePosition(b positionBody) cwgroup.LogPosition {
	return cwgroup.LogPosition{Term: cwgroup.Term(b.Term), Index: cwgroup.LogIndex(b.Position)}
}

func encodePosition(m cwgroup.LogPosition) positionBody {
	return positionBody{Term: uint64(m.Term), Position: uint64(m.Index)}
}

func encodeStatement(h cwport.ForwardRequest) statementBody {
	c, s := h.Entry.Contract, h.Statement
	e := statementEncoding(h)
	b := statementBody{
		Encoding: e, Transaction: h.Transaction, Begin: h.Begin.String(),
		Entry: entryBody{
			Service: h.Entry.Service, Group: h.Entry.Groups[0].Name, Reads: string(c.Reads), TimeoutUS: c.StatementTimeout.Microseconds(),
			MaxAgeUS: c.MaxAge.Microseconds(), AimUS: c.Aim.Microseconds(), Priority: c.Priority,
			IdleUS: c.IdleTransaction.Microseconds(),
		},
		Workspace: h.Workspace, ID: e.encode(s.ID), Verb: e.encode(s.Verb.String()), Text: e.encode(s.Text), Name: e.encode(s.Name), Rest: e.encode(s.Args),
		Values: e.encodeMap(h.Values), Seen: encodePosition(h.LastWrite), ElapsedUS: h.Elapsed.Microseconds(),
	}
	if h.Prepared != nil {
		b.Prepared = &preparedBody{Shape: e.encode(h.Prepared.Text), Writes: h.Prepared.Writes}
	}
	return b
}

// statementEncoding returns the encoding that carries the texts of a statement.
func statementEncoding(h cwport.ForwardRequest) textEncoding {
	return encodingFor(statementTexts(h)...)
}

// maxOtherFields bounds the length of a statement's message without the texts of its caller, in
// bytes.
const maxOtherFields = 2 << 10

// maxEncodedLength returns an upper bound for the length of a statement's message in bytes.
func maxEncodedLength(h cwport.ForwardRequest) int64 {
	texts := statementTexts(h)
	n := int64(maxOtherFields)
	e := encodingFor(texts...)
	for _, s := range texts {
		n += int64(e.maxLength(s))
	}
	for _, s := range []string{h.Transaction, h.Workspace, h.Entry.Service, h.Entry.Groups[0].Name} {
		n += int64(encodingPlain.maxLength(s))
	}
	return n
}

// statementTexts returns the texts of the caller that a statement's message carries.
func statementTexts(h cwport.ForwardRequest) []string {
	texts := []string{h.Statement.ID, h.Statement.Text, h.Statement.Name, h.Statement.Args}
	for k, v := range h.Values {
		texts = append(texts, k, v)
	}
	if h.Prepared != nil {
		texts = append(texts, h.Prepared.Text)
	}
	return texts
}

// decodeStatement decodes and validates a forwarded statement.
func decodeStatement(params []byte) (cwport.ForwardRequest, error) {
	var b statementBody
	if err := json.Unmarshal(params, &b); err != nil {
		return cwport.ForwardRequest{}, &MalformedMessageError{Reason: err.Error()}
	}
	d := textDecoder{encoding: b.Encoding}
	verb, begin := cwstatement.ParseVerb(d.decode(b.Verb)), cwstatement.ParseVerb(b.Begin)
	switch {
	case !holderRuns(verb):
		return cwport.ForwardRequest{}, &MalformedMessageError{Reason: "verb " + b.Verb}
	case begin != cwstatement.UnknownVerb && begin != cwstatement.Begin && begin != cwstatement.BeginRead:
		return cwport.ForwardRequest{}, &MalformedMessageError{Reason: "begin " + b.Begin}
	case b.Entry.Group == "":
		return cwport.ForwardRequest{}, &MalformedMessageError{Reason: "no group"}
	case verb == cwstatement.Execute && b.Prepared == nil:
		return cwport.ForwardRequest{}, &MalformedMessageError{Reason: "no prepared statement"}
	}
	h := cwport.ForwardRequest{
		Transaction: b.Transaction, Begin: begin, Entry: decodeEntry(b.Entry), Workspace: b.Workspace,
		Statement: cwstatement.Statement{ID: d.decode(b.ID), Verb: verb, Text: d.decode(b.Text), Name: d.decode(b.Name), Args: d.decode(b.Rest)},
		Values:    d.decodeMap(b.Values), LastWrite: decodePosition(b.Seen), Elapsed: microseconds(b.ElapsedUS),
	}
	if b.Prepared != nil {
		h.Prepared = &cwport.Prepared{Text: d.decode(b.Prepared.Shape), Writes: b.Prepared.Writes}
	}
	return h, d.err
}

// decodeTransaction decodes the transaction, begin and verb of a forwarded statement only. A
// malformed field is left out.
func decodeTransaction(params []byte) cwport.ForwardRequest {
	var b struct {
		Encoding                 textEncoding
		Transaction, Begin, Verb string
	}
	// A message that cannot be decoded names no transaction.
	_ = json.Unmarshal(params, &b)
	d := textDecoder{encoding: b.Encoding}
	return cwport.ForwardRequest{
		Transaction: b.Transaction, Begin: cwstatement.ParseVerb(b.Begin),
		Statement: cwstatement.Statement{Verb: cwstatement.ParseVerb(d.decode(b.Verb))},
	}
}

// holderRuns reports whether statements with this verb can be forwarded to a holder.
func holderRuns(v cwstatement.Verb) bool {
	switch v {
	case cwstatement.Read, cwstatement.Write, cwstatement.Execute, cwstatement.Commit, cwstatement.Rollback:
		return true
	}
	return false
}

func decodeEntry(b entryBody) cwcatalogue.Entry {
	return cwcatalogue.Entry{
		Service: b.Service,
		Groups:  []cwcatalogue.Group{{Name: b.Group}},
		Contract: cwcatalogue.Contract{
			Reads: cwcatalogue.ReadConsistency(b.Reads), StatementTimeout: microseconds(b.TimeoutUS), MaxAge: microseconds(b.MaxAgeUS),
			Aim: microseconds(b.AimUS), Priority: b.Priority, IdleTransaction: microseconds(b.IdleUS),
		},
	}
}

func encodeResult(r cwport.ForwardResponse) resultBody {
	a := r.Answer
	e := encodingFor(append([]string{a.Proof, a.Detail}, a.Rows...)...)
	return resultBody{
		Encoding: e, Rows: e.encodeAll(a.Rows), Proof: e.encode(a.Proof), Code: e.encode(a.Code.String()), Detail: e.encode(a.Detail), State: a.State.String(),
		Wrote: encodePosition(r.CommitPosition), Elsewhere: r.TryOtherHolder, Contended: r.Contended, NotRun: r.NotRun,
		Leaving: r.Leaving,
	}
}

func (b resultBody) decode() (cwport.ForwardResponse, error) {
	state, ok := cwstatement.ParseState(b.State)
	if !ok {
		return cwport.ForwardResponse{}, &MalformedMessageError{Reason: "state " + b.State}
	}
	d := textDecoder{encoding: b.Encoding}
	answer := cwstatement.Response{
		Rows: d.decodeAll(b.Rows), Proof: d.decode(b.Proof), Code: cwstatement.ParseCode(d.decode(b.Code)), Detail: d.decode(b.Detail), State: state,
	}
	return cwport.ForwardResponse{
		Answer:         answer,
		CommitPosition: decodePosition(b.Wrote), TryOtherHolder: b.Elsewhere, Contended: b.Contended, NotRun: b.NotRun, Leaving: b.Leaving,
	}, d.err
}
