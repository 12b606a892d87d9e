package cwforward

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strconv"

	"github.com/sourcegraph/jsonrpc2"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Limits of a report of demand.
const (
	// maxListLength is the largest number of elements of a list.
	maxListLength = 4096
	// maxStatements is the largest number of statements of one priority at one member,
	// far above the length of any queue.
	maxStatements = 1 << 20
)

// demandBody is a report of demand: the request, and the answer without an instance.
type demandBody struct {
	Group string `json:"group"`
	// Instance is the name of the instance that reports.
	Instance string             `json:"instance,omitempty"`
	Members  []memberDemandBody `json:"members,omitempty"`
}

type memberDemandBody struct {
	Member  string             `json:"member"`
	Running int                `json:"running,omitempty"`
	Waiting []waitingCountBody `json:"waiting,omitempty"`
}

type waitingCountBody struct {
	Priority int `json:"priority"`
	Count    int `json:"count"`
}

func encodeDemand(group, instance string, members []cwport.MemberDemand) demandBody {
	b := demandBody{Group: group, Instance: instance}
	for _, m := range members {
		mb := memberDemandBody{Member: string(m.Member), Running: m.Running}
		for _, p := range slices.Sorted(maps.Keys(m.Waiting)) {
			mb.Waiting = append(mb.Waiting, waitingCountBody{Priority: p, Count: m.Waiting[p]})
		}
		b.Members = append(b.Members, mb)
	}
	return b
}

// decode validates and converts a report.
func (b demandBody) decode() ([]cwport.MemberDemand, error) {
	switch {
	case b.Group == "":
		return nil, &MalformedMessageError{Reason: "demand: no group"}
	case len(b.Members) > maxListLength:
		return nil, &MalformedMessageError{Reason: "demand: too many members"}
	}
	var out []cwport.MemberDemand
	for _, mb := range b.Members {
		m, err := mb.decode()
		if err != nil {
			return nil, err
		}
		out = append(out, m)
	}
	return out, nil
}

func (b memberDemandBody) decode() (cwport.MemberDemand, error) {
	out := cwport.MemberDemand{Member: cwgroup.MemberID(b.Member), Demand: cwlimit.Demand{Running: b.Running}}
	if b.Member == "" || b.Running < 0 || b.Running > maxStatements || len(b.Waiting) > maxListLength {
		return out, &MalformedMessageError{Reason: "demand: member " + strconv.Quote(b.Member)}
	}
	for _, w := range b.Waiting {
		if _, twice := out.Waiting[w.Priority]; twice || w.Count <= 0 || w.Count > maxStatements {
			return out, &MalformedMessageError{Reason: "demand: count of priority " + strconv.Itoa(w.Priority)}
		}
		if out.Waiting == nil {
			out.Waiting = make(map[int]int)
		}
		out.Waiting[w.Priority] = w.Count
	}
	return out, nil
}

// answerDemand handles a report of demand.
func (s *Server) answerDemand(req *jsonrpc2.Request) (any, error) {
	if s.Demands == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	b, members, err := decodeDemandRequest(req.Params)
	if err != nil {
		if s.OnMalformed != nil {
			s.OnMalformed(req.Method)
		}
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return encodeDemand(b.Group, "", s.Demands.ExchangeDemand(b.Group, b.Instance, members)), nil
}

// decodeDemandRequest decodes and validates a report that another instance sent.
func decodeDemandRequest(params *json.RawMessage) (b demandBody, members []cwport.MemberDemand, err error) {
	if params == nil {
		return b, nil, &MalformedMessageError{Reason: "demand: no parameters"}
	}
	if err := json.Unmarshal(*params, &b); err != nil {
		return b, nil, err
	}
	if b.Instance == "" {
		return b, nil, &MalformedMessageError{Reason: "demand: no instance"}
	}
	members, err = b.decode()
	return b, members, err
}

// ExchangeDemand reports the demand of instance self at the members of a group and
// returns that of the other instance. The error is a *cwport.MethodUnknownError if the
// other instance does not have the method, a *cwport.MalformedAnswerError if the answer is
// malformed, and otherwise that of the RPC call.
func (c *Conn) ExchangeDemand(ctx context.Context, group, self string, members []cwport.MemberDemand) ([]cwport.MemberDemand, error) {
	var text json.RawMessage
	err := c.rpc.Call(ctx, methodDemand, encodeDemand(group, self, members), &text)
	var refused *jsonrpc2.Error
	switch {
	case errors.As(err, &refused) && refused.Code == jsonrpc2.CodeMethodNotFound:
		return nil, &cwport.MethodUnknownError{Method: methodDemand}
	case err != nil:
		return nil, err
	}
	theirs, err := decodeDemand(text, group)
	if err != nil {
		return nil, &cwport.MalformedAnswerError{Method: methodDemand, Cause: err}
	}
	return theirs, nil
}

// decodeDemand decodes and validates the answer to a report for a group.
func decodeDemand(text []byte, group string) ([]cwport.MemberDemand, error) {
	if len(text) > maxMessage {
		return nil, &MalformedMessageError{Reason: "demand: the answer is too long"}
	}
	var b demandBody
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, &MalformedMessageError{Reason: err.Error()}
	}
	if b.Group != group {
		return nil, &MalformedMessageError{Reason: "demand: answer for group " + strconv.Quote(b.Group)}
	}
	return b.decode()
}
