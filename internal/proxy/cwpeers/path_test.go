package cwpeers

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwpath"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// pathInstances returns one neighbour and one instance of another data centre.
func (w manyGroupsTest) pathInstances() (neighbour, remote string) {
	neighbours, others := w.PathNeighbours()
	w.Assert(neighbours, qt.HasLen, 5)
	w.Assert(others, qt.HasLen, 3)
	for _, names := range others {
		return neighbours[0], names[0]
	}
	return "", ""
}

func (w manyGroupsTest) sendReport(to string) (time.Duration, error) {
	began := time.Now()
	_, err := w.SendPathReport(context.Background(), to, cwport.PathReport{ID: "r/1", Instance: w.Self.ID})
	return time.Since(began), err
}

// Guards against a spread that stops at connections that went silent without a reset:
// the call must end soon, and the next one must use a new connection.
func TestSilentConnectionToNeighbourIsReplaced(t *testing.T) {
	runManyGroups(t, func(w manyGroupsTest) {
		to, _ := w.pathInstances()
		_, err := w.sendReport(to)
		w.Assert(err, qt.IsNil)
		w.Assert(w.net.dialled(), qt.DeepEquals, []string{to})
		time.Sleep(answerTimeout)
		w.net.withLock(func() { w.net.unresponsive[to] = true })
		took, err := w.sendReport(to)
		w.Assert(err, qt.IsNotNil)
		w.Assert(took <= cwpath.CallTimeout, qt.IsTrue, qt.Commentf("%v", took))
		time.Sleep(answerTimeout + time.Millisecond)
		w.net.withLock(func() { w.net.unresponsive[to] = false })
		_, err = w.sendReport(to)
		w.Assert(err, qt.IsNil)
		w.Assert(w.net.dialled(), qt.DeepEquals, []string{to, to})
	})
}

// Guards against pings that are not recorded, so that a cut or its end is not found, and
// against connections that stay open for them.
func TestPingRecordsAnswer(t *testing.T) {
	runManyGroups(t, func(w manyGroupsTest) {
		_, to := w.pathInstances()
		w.Assert(w.PingRemote(context.Background(), to), qt.IsNil)
		w.Assert(w.path.answered.IsZero(), qt.IsFalse)
		w.Assert(w.links, qt.HasLen, 0)
		w.path.answered = time.Time{}
		w.Dial = func(context.Context, string, string) (Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		w.Assert(w.PingRemote(context.Background(), to), qt.IsNil)
		w.Assert(w.path.answered.IsZero(), qt.IsFalse)
		w.Dial = w.net.dial
		w.net.withLock(func() { w.net.refused[to] = true })
		w.Assert(w.PingRemote(context.Background(), to), qt.ErrorAs, new(*cwport.NoResponseError))
	})
}

// Guards against statements that wait for holders behind a cut path.
func TestNoHolderBehindCutPath(t *testing.T) {
	runManyGroups(t, func(w manyGroupsTest) {
		down := false
		w.PathDown = func() bool { return down }
		var tried []string
		for _, h := range w.holders {
			if h.DataCentre == w.Self.DataCentre {
				tried = append(tried, h.ID)
			}
		}
		h, _ := w.chooseHolder(tried...)
		w.Assert(h.Name(), qt.Not(qt.Equals), "")
		down = true
		_, ok := w.Holder("g", manyGroupsCapacity, tried)
		w.Assert(ok, qt.IsFalse)
	})
}
