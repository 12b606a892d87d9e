package cwforward

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

type quotaRequestBody struct {
	Workspace string `json:"workspace"`
}

type quotaResultBody struct {
	Allowed      bool  `json:"allowed,omitempty"`
	Unknown      bool  `json:"unknown,omitempty"`
	RetryAfterUS int64 `json:"retryAfterUs,omitempty"`
}

// answerQuota handles a request to take one operation from a workspace's quota.
func (s *Server) answerQuota(req *jsonrpc2.Request) (any, error) {
	if s.Quotas == nil || req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	var b quotaRequestBody
	if err := json.Unmarshal(*req.Params, &b); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	v := s.Quotas.IssueQuota(b.Workspace)
	return quotaResultBody{Allowed: v.Allowed, Unknown: v.Unknown, RetryAfterUS: v.RetryAfter.Microseconds()}, nil
}

// TakeQuota takes one operation from the part of the workspace's quota that the other
// instance keeps. It returns a *MalformedMessageError if the answer is malformed, and
// the error of the RPC call if that failed.
func (c *Conn) TakeQuota(ctx context.Context, workspace string) (cwport.QuotaDecision, error) {
	var b quotaResultBody
	if err := c.rpc.Call(ctx, methodQuota, quotaRequestBody{Workspace: workspace}, &b); err != nil {
		return cwport.QuotaDecision{}, err
	}
	if b.RetryAfterUS < 0 {
		return cwport.QuotaDecision{}, &MalformedMessageError{Reason: "quota: negative retry time"}
	}
	return cwport.QuotaDecision{Allowed: b.Allowed, Unknown: b.Unknown, RetryAfter: microseconds(b.RetryAfterUS)}, nil
}
