package cwforward

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// quotaServer answers every request with the same decision and keeps what it got.
type quotaServer struct {
	answer   cwport.QuotaDecision
	request  cwport.QuotaRequest
	returned cwport.QuotaGrant
}

func (s *quotaServer) IssueQuota(r cwport.QuotaRequest) cwport.QuotaDecision {
	s.request = r
	return s.answer
}

func (s *quotaServer) ReturnIssued(_ string, g cwport.QuotaGrant) { s.returned = g }

// dialQuotas returns a connection to an instance with the issuer s; nil if it has none.
func dialQuotas(c *qt.C, s cwport.QuotaServer) *Conn {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	h := &fakeHandler{closed: make(chan any, 1)}
	go func() { done <- (&Server{Handler: h, Quotas: s}).Run(ctx, ln) }()
	conn, err := Dial(ctx, "issuer", ln.Addr().String(), nil)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		c.Check(conn.Close(), qt.IsNil)
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	return conn
}

func TestQuotaOverAConnection(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	s := &quotaServer{answer: cwport.QuotaDecision{Allowed: true, Place: 1 << 40, Grant: cwport.QuotaGrant{Run: "r", Grant: 1 << 60}}}
	conn := dialQuotas(c, s)
	r := cwport.QuotaRequest{Workspace: "north", Priority: 2, MaxWait: 30 * time.Millisecond, Repeated: true, Place: 1 << 40}
	v, err := conn.TakeQuota(ctx, r)
	c.Assert(err, qt.IsNil)
	c.Assert(v, qt.Equals, s.answer)
	c.Assert(s.request, qt.Equals, r)
	c.Assert(conn.ReturnQuota(ctx, "north", v.Grant), qt.IsNil)
	c.Assert(s.returned, qt.Equals, v.Grant)
}

// Guards against requests that fail without a type, by which the caller decides when to
// ask again.
func TestQuotaOfAnInstanceWithoutIt(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	conn := dialQuotas(c, nil)
	_, err := conn.TakeQuota(ctx, cwport.QuotaRequest{Workspace: "north"})
	for _, err := range []error{err, conn.ReturnQuota(ctx, "north", cwport.QuotaGrant{})} {
		var unsupported *cwport.UnsupportedError
		c.Assert(errors.As(err, &unsupported), qt.IsTrue, qt.Commentf("%v", err))
	}
}

// Guards against messages of older builds that are refused, and against values out of
// range that are used.
func TestQuotaMessages(t *testing.T) {
	t.Run("request of an older build", func(t *testing.T) {
		var b quotaRequestBody
		qt.Assert(t, json.Unmarshal([]byte(`{"workspace":"north","later":1}`), &b), qt.IsNil)
		r, err := b.decode()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r, qt.Equals, cwport.QuotaRequest{Workspace: "north"})
	})
	t.Run("answer of an older build", func(t *testing.T) {
		var b quotaResultBody
		qt.Assert(t, json.Unmarshal([]byte(`{"retryAfterUs":1500}`), &b), qt.IsNil)
		v, err := b.decode()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, v, qt.Equals, cwport.QuotaDecision{RetryAfter: 1500 * time.Microsecond})
	})
	for _, b := range []quotaRequestBody{{Priority: -1}, {MaxWaitUS: -1}, {Place: -1}, {MaxWaitUS: 1 << 62}} {
		_, err := b.decode()
		qt.Assert(t, err, qt.ErrorAs, new(*MalformedMessageError))
	}
	for _, b := range []quotaResultBody{{Place: -1}, {RetryAfterUS: -1}, {RetryAfterUS: 1 << 62}} {
		_, err := b.decode()
		qt.Assert(t, err, qt.ErrorAs, new(*MalformedMessageError))
	}
}
