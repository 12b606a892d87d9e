package cwhandover

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

type quotaBody struct {
	Workspace string `json:"workspace"`
}

type verdictBody struct {
	Allowed      bool  `json:"allowed,omitempty"`
	Unknown      bool  `json:"unknown,omitempty"`
	RetryAfterUS int64 `json:"retryAfterUs,omitempty"`
}

// tellQuota answers a question for one operation of a workspace.
func (s *Server) tellQuota(req *jsonrpc2.Request) (any, error) {
	if s.Quotas == nil || req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	var b quotaBody
	if err := json.Unmarshal(*req.Params, &b); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	v := s.Quotas.TellQuota(b.Workspace)
	return verdictBody{Allowed: v.Allowed, Unknown: v.Unknown, RetryAfterUS: v.RetryAfter.Microseconds()}, nil
}

// AskQuota asks for one operation of a workspace.
func (c *Conn) AskQuota(ctx context.Context, workspace string) (cwport.Verdict, error) {
	var b verdictBody
	if err := c.rpc.Call(ctx, methodQuota, quotaBody{Workspace: workspace}, &b); err != nil {
		return cwport.Verdict{}, err
	}
	if b.RetryAfterUS < 0 {
		return cwport.Verdict{}, &UnreadableError{What: "time to come back"}
	}
	return cwport.Verdict{Allowed: b.Allowed, Unknown: b.Unknown, RetryAfter: micros(b.RetryAfterUS)}, nil
}
