package cwport

import (
	"context"
	"time"
)

// PathReport tells another instance of the same data centre that no answers arrive from
// other data centres, or that they do again.
type PathReport struct {
	// ID identifies the suspicion that the report is about. It stays the same when the
	// report is passed on.
	ID string
	// DataCentre and Instance are those of the sender.
	DataCentre, Instance string
	// Silent is the time since the request was sent whose answer is overdue. If Ended is
	// true, it is the time since the last answer from another data centre.
	Silent time.Duration
	// NotReady is the time since the sender became not ready; zero if it is ready.
	NotReady time.Duration
	// Ended is true if an answer has arrived.
	Ended bool
}

// PathReply is the answer to a PathReport.
type PathReply struct {
	// Answered is the time since the last answer from another data centre. It is valid
	// if HasAnswer is true; otherwise no answer has arrived during the silence reported.
	Answered  time.Duration
	HasAnswer bool
	// NotReady is the time since the instance became not ready; zero if it is ready.
	NotReady time.Duration
}

// PathServer processes path reports of other instances.
type PathServer interface {
	ServePathReport(r PathReport) PathReply
}

// PathNetwork reaches other instances to find out whether other data centres answer.
// None of its methods is called while a statement waits.
type PathNetwork interface {
	// PathNeighbours returns the names of the other instances of this data centre, and
	// the names of the instances of each other data centre.
	PathNeighbours() (neighbours []string, remote map[string][]string)
	// SendPathReport sends a report to a neighbour, and connects to it if necessary. The
	// error is a *MethodUnknownError if the neighbour's build does not know reports.
	SendPathReport(ctx context.Context, to string, r PathReport) (PathReply, error)
	// PingRemote pings an instance of another data centre on a new connection. The
	// answer, or a refused connection, is recorded like any other answer from there.
	PingRemote(ctx context.Context, to string) error
}

// MethodUnknownError reports that the build of another instance does not know a method.
type MethodUnknownError struct{ Method string }

func (e *MethodUnknownError) Error() string { return "the instance does not know " + e.Method }
