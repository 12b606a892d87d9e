package cwforward

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Limits of messages.
const (
	// maxElements is the longest list in a message.
	maxElements = 4096
	// maxDurationUS is the longest duration in a message, a day in microseconds.
	maxDurationUS = 24 * 3600 * 1e6
)

type membersRequestBody struct {
	Group    string `json:"group"`
	MaxAgeUS int64  `json:"maxAgeUs"`
	WaitUS   int64  `json:"waitUs,omitempty"`
	Others   int    `json:"others,omitempty"`
	Primary  bool   `json:"primary,omitempty"`
}

type membersBody struct {
	HeldUS   int64              `json:"heldUs"`
	Observes bool               `json:"observes"`
	Reports  []memberReportBody `json:"reports,omitempty"`
	Primary  *primaryReportBody `json:"primary,omitempty"`
}

type memberReportBody struct {
	Member      string       `json:"member"`
	Role        string       `json:"role"`
	Term        uint64       `json:"term"`
	FencedTerm  uint64       `json:"fencedTerm,omitempty"`
	Position    positionBody `json:"position"`
	LagUS       int64        `json:"lagUs,omitempty"`
	Busy        int          `json:"busy,omitempty"`
	Connections int          `json:"connections,omitempty"`
	AgeUS       int64        `json:"ageUs"`
}

type primaryReportBody struct {
	Member   string          `json:"member"`
	Term     uint64          `json:"term"`
	Position positionBody    `json:"position"`
	AgeUS    int64           `json:"ageUs"`
	Log      []logSampleBody `json:"log,omitempty"`
}

type logSampleBody struct {
	Position positionBody `json:"position"`
	AgeUS    int64        `json:"ageUs"`
}

// answerMembers handles a request for reports of a group's members.
func (s *Server) answerMembers(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	if s.Members == nil || req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	var b membersRequestBody
	if err := json.Unmarshal(*req.Params, &b); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	q, err := b.decode()
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return encodeMembers(s.Members.ServeMembers(ctx, q)), nil
}

func (b membersRequestBody) decode() (cwport.MembersRequest, error) {
	switch {
	case b.Group == "":
		return cwport.MembersRequest{}, &MalformedMessageError{Reason: "members: no group"}
	case !validDuration(b.MaxAgeUS) || b.WaitUS < 0 || b.WaitUS > cwevidence.MaxAnswerWait.Microseconds():
		return cwport.MembersRequest{}, &MalformedMessageError{Reason: "members: duration out of range"}
	case b.Others < 0 || b.Others > maxElements:
		return cwport.MembersRequest{}, &MalformedMessageError{Reason: "members: number of members out of range"}
	}
	return cwport.MembersRequest{
		Group: b.Group, MaxAge: microseconds(b.MaxAgeUS), Wait: microseconds(b.WaitUS), Others: b.Others, Primary: b.Primary,
	}, nil
}

func validDuration(us int64) bool { return us >= 0 && us <= maxDurationUS }

func encodeMembers(r cwport.MembersResponse) membersBody {
	b := membersBody{HeldUS: r.Held.Microseconds(), Observes: r.Observes}
	for _, m := range r.Reports {
		h := m.Health
		b.Reports = append(b.Reports, memberReportBody{
			Member: string(m.Member), Role: h.Role.String(), Term: uint64(h.Term), FencedTerm: uint64(h.FencedTerm), Position: encodePosition(h.LogEnd),
			LagUS: h.Lag.Microseconds(), Busy: h.Busy, Connections: h.Connections, AgeUS: microsecondsUp(m.Age),
		})
	}
	if p := r.Primary; p.Member != "" {
		b.Primary = &primaryReportBody{Member: string(p.Member), Term: uint64(p.Term), Position: encodePosition(p.Position), AgeUS: microsecondsUp(p.Age)}
		for _, l := range p.Log {
			b.Primary.Log = append(b.Primary.Log, logSampleBody{Position: encodePosition(l.Position), AgeUS: microsecondsUp(l.Age)})
		}
	}
	return b
}

// microsecondsUp rounds an age up, so that data never looks newer than it is.
func microsecondsUp(d time.Duration) int64 {
	return int64((d + time.Microsecond - 1) / time.Microsecond)
}

// decode validates and converts an answer. A value out of range could make a report look
// newer than it is, so the whole answer is rejected.
func (b membersBody) decode() (cwport.MembersResponse, error) {
	if !validDuration(b.HeldUS) || len(b.Reports) > maxElements {
		return cwport.MembersResponse{}, &MalformedMessageError{Reason: "members: hold time or number of reports out of range"}
	}
	r := cwport.MembersResponse{Held: microseconds(b.HeldUS), Observes: b.Observes}
	for _, m := range b.Reports {
		report, err := m.decode()
		if err != nil {
			return cwport.MembersResponse{}, err
		}
		r.Reports = append(r.Reports, report)
	}
	if b.Primary == nil {
		return r, nil
	}
	var err error
	r.Primary, err = b.Primary.decode()
	return r, err
}

func (b primaryReportBody) decode() (cwport.PrimaryReport, error) {
	if b.Member == "" || !validDuration(b.AgeUS) || len(b.Log) > maxElements {
		return cwport.PrimaryReport{}, &MalformedMessageError{Reason: "members: report of the primary"}
	}
	p := cwport.PrimaryReport{
		Member: cwgroup.MemberID(b.Member), Term: cwgroup.Term(b.Term), Position: decodePosition(b.Position), Age: microseconds(b.AgeUS),
	}
	for _, l := range b.Log {
		if !validDuration(l.AgeUS) {
			return cwport.PrimaryReport{}, &MalformedMessageError{Reason: "members: age of a log position out of range"}
		}
		p.Log = append(p.Log, cwport.LogSample{Position: decodePosition(l.Position), Age: microseconds(l.AgeUS)})
	}
	return p, nil
}

func (b memberReportBody) decode() (cwport.MemberReport, error) {
	role, ok := parseRole(b.Role)
	switch {
	case !ok || b.Member == "":
		return cwport.MemberReport{}, &MalformedMessageError{Reason: "members: role " + strconv.Quote(b.Role) + " of " + strconv.Quote(b.Member)}
	case !validDuration(b.AgeUS) || !validDuration(b.LagUS) || b.Busy < 0 || b.Connections < 0:
		return cwport.MemberReport{}, &MalformedMessageError{Reason: "members: report of " + b.Member + " has values out of range"}
	}
	return cwport.MemberReport{
		Member: cwgroup.MemberID(b.Member), Age: microseconds(b.AgeUS),
		Health: cwstatement.Health{
			Role: role, Term: cwgroup.Term(b.Term), FencedTerm: cwgroup.Term(b.FencedTerm), LogEnd: decodePosition(b.Position),
			Lag: microseconds(b.LagUS), Busy: b.Busy, Connections: b.Connections,
		},
	}, nil
}

// parseRole parses a role as written by cwgroup.Role.String.
func parseRole(s string) (cwgroup.Role, bool) {
	for _, r := range []cwgroup.Role{cwgroup.RoleReplica, cwgroup.RolePrimary, cwgroup.RoleFenced} {
		if r.String() == s {
			return r, true
		}
	}
	return 0, false
}

// Members requests the other instance's reports of a group's members. It returns a
// *cwport.UnsupportedMethodError if the instance's build lacks the method, a
// *cwport.InvalidAnswerError if the answer is malformed, and the error of the RPC call if
// that failed.
func (c *Conn) Members(ctx context.Context, q cwport.MembersRequest) (cwport.MembersResponse, error) {
	var raw json.RawMessage
	err := c.rpc.Call(ctx, methodMembers, membersRequestBody{
		Group: q.Group, MaxAgeUS: q.MaxAge.Microseconds(), WaitUS: q.Wait.Microseconds(), Others: q.Others, Primary: q.Primary,
	}, &raw)
	var refused *jsonrpc2.Error
	switch {
	case errors.As(err, &refused) && refused.Code == jsonrpc2.CodeMethodNotFound:
		return cwport.MembersResponse{}, &cwport.UnsupportedMethodError{Method: methodMembers}
	case err != nil:
		return cwport.MembersResponse{}, err
	}
	var b membersBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return cwport.MembersResponse{}, &cwport.InvalidAnswerError{Cause: err}
	}
	r, err := b.decode()
	if err != nil {
		return cwport.MembersResponse{}, &cwport.InvalidAnswerError{Cause: err}
	}
	return r, nil
}
