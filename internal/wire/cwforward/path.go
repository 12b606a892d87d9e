package cwforward

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// maxPathAge is the largest time that a path message may state. It is longer than any
// cut, and short enough that the arithmetic with it cannot overflow.
const maxPathAge = 30 * 24 * time.Hour

type pathReportBody struct {
	Report     string `json:"report,omitempty"`
	DataCentre string `json:"dataCentre"`
	Instance   string `json:"instance"`
	SilentUS   int64  `json:"silentUs"`
	NotReadyUS int64  `json:"notReadyUs,omitempty"`
	Ended      bool   `json:"ended,omitempty"`
}

type pathReplyBody struct {
	// AnsweredUS is absent if there was no answer during the silence reported.
	AnsweredUS *int64 `json:"answeredUs,omitempty"`
	NotReadyUS int64  `json:"notReadyUs,omitempty"`
}

func encodePathReport(r cwport.PathReport) pathReportBody {
	return pathReportBody{
		Report: r.ID, DataCentre: r.DataCentre, Instance: r.Instance, SilentUS: r.Silent.Microseconds(), NotReadyUS: r.NotReady.Microseconds(), Ended: r.Ended,
	}
}

// decodePathReport decodes and validates a path report. The error is a
// *MalformedMessageError.
func decodePathReport(params []byte) (cwport.PathReport, error) {
	var b pathReportBody
	if err := json.Unmarshal(params, &b); err != nil {
		return cwport.PathReport{}, &MalformedMessageError{Reason: err.Error()}
	}
	switch {
	case b.DataCentre == "" || b.Instance == "" || b.Report == "" && !b.Ended:
		return cwport.PathReport{}, &MalformedMessageError{Reason: "path: no sender or report"}
	case !validPathAge(b.SilentUS) || !validPathAge(b.NotReadyUS):
		return cwport.PathReport{}, &MalformedMessageError{Reason: "path: time out of range"}
	}
	return cwport.PathReport{
		ID: b.Report, DataCentre: b.DataCentre, Instance: b.Instance, Silent: microseconds(b.SilentUS), NotReady: microseconds(b.NotReadyUS), Ended: b.Ended,
	}, nil
}

func validPathAge(us int64) bool { return us >= 0 && us <= maxPathAge.Microseconds() }

func encodePathReply(r cwport.PathReply) pathReplyBody {
	b := pathReplyBody{NotReadyUS: r.NotReady.Microseconds()}
	if r.HasAnswer {
		us := r.Answered.Microseconds()
		b.AnsweredUS = &us
	}
	return b
}

func (b pathReplyBody) decode() (cwport.PathReply, error) {
	r := cwport.PathReply{NotReady: microseconds(b.NotReadyUS)}
	valid := validPathAge(b.NotReadyUS)
	if b.AnsweredUS != nil {
		valid = valid && validPathAge(*b.AnsweredUS)
		r.Answered, r.HasAnswer = microseconds(*b.AnsweredUS), true
	}
	if !valid {
		return cwport.PathReply{}, &MalformedMessageError{Reason: "path: time out of range"}
	}
	return r, nil
}

// answerPath handles a path report.
func (s *Server) answerPath(req *jsonrpc2.Request) (any, error) {
	if s.Path == nil || req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	r, err := decodePathReport(*req.Params)
	if err != nil {
		if s.OnMalformed != nil {
			s.OnMalformed(req.Method)
		}
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return encodePathReply(s.Path.ServePathReport(r)), nil
}

// SendPathReport sends a path report. The error is a *cwport.MethodUnknownError if the
// other instance does not know the method, a *MalformedMessageError if its answer is
// malformed, and otherwise that of the RPC call.
func (c *Conn) SendPathReport(ctx context.Context, r cwport.PathReport) (cwport.PathReply, error) {
	var b pathReplyBody
	err := c.rpc.Call(ctx, methodPath, encodePathReport(r), &b)
	var refused *jsonrpc2.Error
	switch {
	case errors.As(err, &refused) && refused.Code == jsonrpc2.CodeMethodNotFound:
		return cwport.PathReply{}, &cwport.MethodUnknownError{Method: methodPath}
	case err != nil:
		return cwport.PathReply{}, err
	}
	return b.decode()
}
