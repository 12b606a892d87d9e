package cwforward

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

func exampleMembers() cwport.MembersResponse {
	at := cwgroup.LogPosition{Term: 3, Index: 1207}
	return cwport.MembersResponse{
		Held: 12 * time.Millisecond, Observes: true,
		Reports: []cwport.MemberReport{{Member: "i-2", Age: 40 * time.Millisecond, Health: cwstatement.Health{
			Role: cwgroup.RoleFenced, Term: 3, FencedTerm: 4, LogEnd: at, Lag: time.Millisecond, Busy: 2, Connections: 70,
		}}},
		Primary: cwport.PrimaryReport{Member: "i-1", Term: 3, Position: at, Age: time.Second, Log: []cwport.LogSample{{Position: at, Age: 2 * time.Second}}},
	}
}

// membersFunc answers requests for reports with a function.
type membersFunc func(cwport.MembersRequest) cwport.MembersResponse

func (f membersFunc) ServeMembers(_ context.Context, q cwport.MembersRequest) cwport.MembersResponse {
	return f(q)
}

// askMembers sends a request to a server.
func askMembers(c *qt.C, s *Server, q cwport.MembersRequest) (cwport.MembersResponse, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	s.Handler = &fakeHandler{closed: make(chan any, 1)}
	go func() { done <- s.Run(ctx, ln) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	conn, err := Dial(ctx, "observer", ln.Addr().String(), nil)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(conn.Close(), qt.IsNil) }()
	return conn.Members(ctx, q)
}

// Guards against reports that change on their way, and against a request to an older build
// that isn't recognised as such.
func TestMembersOverAConnection(t *testing.T) {
	q := cwport.MembersRequest{Group: "ledger", MaxAge: 50 * time.Millisecond, Wait: 60 * time.Millisecond, Others: 1, Primary: true}
	t.Run("an answer", func(t *testing.T) {
		var got cwport.MembersRequest
		r, err := askMembers(qt.New(t), &Server{Members: membersFunc(func(q cwport.MembersRequest) cwport.MembersResponse {
			got = q
			return exampleMembers()
		})}, q)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, q)
		qt.Assert(t, r, qt.DeepEquals, exampleMembers())
	})
	t.Run("an older build", func(t *testing.T) {
		_, err := askMembers(qt.New(t), &Server{}, q)
		qt.Assert(t, err, qt.ErrorAs, new(*cwport.UnsupportedMethodError))
	})
	t.Run("a malformed answer", func(t *testing.T) {
		_, err := askMembers(qt.New(t), &Server{Members: membersFunc(func(cwport.MembersRequest) cwport.MembersResponse {
			return cwport.MembersResponse{Observes: true, Reports: []cwport.MemberReport{{}}}
		})}, q)
		qt.Assert(t, err, qt.ErrorAs, new(*cwport.InvalidAnswerError))
	})
}

// Guards against values that make a report look newer or a member healthier than it is.
func TestMembersOutOfRange(t *testing.T) {
	text, err := json.Marshal(encodeMembers(exampleMembers()))
	qt.Assert(t, err, qt.IsNil)
	for _, tc := range []struct{ name, from, to string }{
		{"negative hold time", `"heldUs":12000`, `"heldUs":-1`},
		{"negative age", `"ageUs":40000`, `"ageUs":-40000`},
		{"an age that overflows", `"ageUs":40000`, `"ageUs":9223372036854775807`},
		{"negative age of a log position", `"ageUs":2000000`, `"ageUs":-1`},
		{"negative age of the primary's report", `"ageUs":1000000`, `"ageUs":-1`},
		{"unknown role", `"role":"fenced"`, `"role":"leader"`},
		{"no member", `"member":"i-2"`, `"member":""`},
		{"negative number of connections", `"connections":70`, `"connections":-1`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Assert(t, strings.Contains(string(text), tc.from), qt.IsTrue)
			var b membersBody
			qt.Assert(t, json.Unmarshal([]byte(strings.Replace(string(text), tc.from, tc.to, 1)), &b), qt.IsNil)
			_, err := b.decode()
			qt.Assert(t, err, qt.ErrorAs, new(*MalformedMessageError))
		})
	}
	for _, b := range []membersRequestBody{{}, {Group: "g", MaxAgeUS: -1}, {Group: "g", WaitUS: 250_001}, {Group: "g", Others: -1}} {
		_, err := b.decode()
		qt.Assert(t, err, qt.ErrorAs, new(*MalformedMessageError))
	}
}
