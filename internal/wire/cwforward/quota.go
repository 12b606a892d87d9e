package cwforward

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"cicadawalk.example/cicadawalk/internal/core/cwquota"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// maxQuotaTime bounds the times in quota messages. Times that are stated are at most a
// few windows of a quota.
const maxQuotaTime = time.Hour

// quotaRequestBody is a request for quota. Instances of older builds send only the
// workspace; their requests count as those of the highest priority.
type quotaRequestBody struct {
	Workspace string `json:"workspace"`
	Priority  int    `json:"priority,omitempty"`
	MaxWaitUS int64  `json:"maxWaitUs,omitempty"`
	Repeated  bool   `json:"repeated,omitempty"`
	Place     int64  `json:"place,omitempty"`
}

type quotaResultBody struct {
	Allowed      bool       `json:"allowed,omitempty"`
	Unknown      bool       `json:"unknown,omitempty"`
	RetryAfterUS int64      `json:"retryAfterUs,omitempty"`
	Place        int64      `json:"place,omitempty"`
	Grant        *grantBody `json:"grant,omitempty"`
}

type grantBody struct {
	Run    string `json:"run"`
	Number uint64 `json:"number"`
}

type quotaReturnBody struct {
	Workspace string    `json:"workspace"`
	Grant     grantBody `json:"grant"`
}

// quotaTime decodes a time in a quota message.
func quotaTime(name string, us int64) (time.Duration, error) {
	if us < 0 || us > maxQuotaTime.Microseconds() {
		return 0, &MalformedMessageError{Reason: "quota: " + name + " out of range"}
	}
	return microseconds(us), nil
}

func (b quotaRequestBody) decode() (cwport.QuotaRequest, error) {
	wait, err := quotaTime("maxWaitUs", b.MaxWaitUS)
	if err == nil && b.Priority < 0 {
		err = &MalformedMessageError{Reason: "quota: negative priority"}
	}
	if err == nil && b.Place < 0 {
		err = &MalformedMessageError{Reason: "quota: negative place"}
	}
	return cwport.QuotaRequest{Workspace: b.Workspace, Priority: b.Priority, MaxWait: wait, Repeated: b.Repeated, Place: b.Place}, err
}

func encodeQuotaResult(d cwport.QuotaDecision) quotaResultBody {
	b := quotaResultBody{
		Allowed: d.Allowed, Unknown: d.Unknown,
		RetryAfterUS: min(d.RetryAfter, maxQuotaTime).Microseconds(), Place: d.Place,
	}
	if d.Grant != (cwport.QuotaGrant{}) {
		b.Grant = &grantBody{Run: d.Grant.Run, Number: uint64(d.Grant.Grant)}
	}
	return b
}

func (b quotaResultBody) decode() (cwport.QuotaDecision, error) {
	retry, err := quotaTime("retryAfterUs", b.RetryAfterUS)
	if err != nil {
		return cwport.QuotaDecision{}, err
	}
	if b.Place < 0 {
		return cwport.QuotaDecision{}, &MalformedMessageError{Reason: "quota: negative place"}
	}
	d := cwport.QuotaDecision{Allowed: b.Allowed, Unknown: b.Unknown, RetryAfter: retry, Place: b.Place}
	if b.Grant != nil {
		d.Grant = b.Grant.decode()
	}
	return d, nil
}

func (b grantBody) decode() cwport.QuotaGrant {
	return cwport.QuotaGrant{Run: b.Run, Grant: cwquota.Grant(b.Number)}
}

// answerQuota handles a request to take one operation from a workspace's quota.
func (s *Server) answerQuota(req *jsonrpc2.Request) (any, error) {
	if s.Quotas == nil || req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	var b quotaRequestBody
	err := json.Unmarshal(*req.Params, &b)
	var r cwport.QuotaRequest
	if err == nil {
		r, err = b.decode()
	}
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return encodeQuotaResult(s.Quotas.IssueQuota(r)), nil
}

// answerQuotaReturn handles the return of quota.
func (s *Server) answerQuotaReturn(req *jsonrpc2.Request) (any, error) {
	if s.Quotas == nil || req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	var b quotaReturnBody
	if err := json.Unmarshal(*req.Params, &b); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	s.Quotas.ReturnIssued(b.Workspace, b.Grant.decode())
	return struct{}{}, nil
}

// TakeQuota takes one operation from the part of the workspace's quota that the other
// instance keeps. It returns a *MalformedMessageError if the answer is malformed, a
// *cwport.UnsupportedError if the other instance keeps no quotas, and the error of the
// RPC call if that failed.
func (c *Conn) TakeQuota(ctx context.Context, r cwport.QuotaRequest) (cwport.QuotaDecision, error) {
	var b quotaResultBody
	body := quotaRequestBody{Workspace: r.Workspace, Priority: r.Priority, MaxWaitUS: r.MaxWait.Microseconds(), Repeated: r.Repeated, Place: r.Place}
	if err := c.rpc.Call(ctx, methodQuota, body, &b); err != nil {
		return cwport.QuotaDecision{}, asUnsupported(methodQuota, err)
	}
	return b.decode()
}

// ReturnQuota gives back quota that the other instance has issued.
func (c *Conn) ReturnQuota(ctx context.Context, workspace string, g cwport.QuotaGrant) error {
	body := quotaReturnBody{Workspace: workspace, Grant: grantBody{Run: g.Run, Number: uint64(g.Grant)}}
	return asUnsupported(methodQuotaReturn, c.rpc.Call(ctx, methodQuotaReturn, body, &struct{}{}))
}

// asUnsupported returns a *cwport.UnsupportedError if the error of a call means that the
// other instance doesn't have the method, and the error itself otherwise.
func asUnsupported(method string, err error) error {
	var refused *jsonrpc2.Error
	if errors.As(err, &refused) && refused.Code == jsonrpc2.CodeMethodNotFound {
		return &cwport.UnsupportedError{Method: method}
	}
	return err
}
