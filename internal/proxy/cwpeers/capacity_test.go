package cwpeers

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Guards against a row whose capacity is not used, or that is not written again when
// the capacity differs from it, and against a link that is closed because of that.
func TestCapacityOfRows(t *testing.T) {
	a, b := instance("a", "dc"), instance("b", "dc")
	p := &Peers{Self: a, Capacity: 800, Clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)), Log: log.New(io.Discard)}
	rowOf := func(name, capacity string) cwport.Row {
		return cwport.Row{Key: rowKey("dc", name), Value: fmt.Appendf(nil, `{"address":"10.0.0.1:1","dataCentre":"dc"%s}`, capacity), Version: 5}
	}
	p.ApplyRows([]cwport.Row{rowOf("a", ""), rowOf("b", "")}, true)
	l := p.link(b)
	qt.Assert(t, p.needsRegistration(), qt.IsTrue)
	p.ApplyRows([]cwport.Row{rowOf("a", `,"capacity":800`), rowOf("b", `,"capacity":134`)}, true)
	qt.Assert(t, p.needsRegistration(), qt.IsFalse)
	qt.Assert(t, p.placement.Capacity("b"), qt.Equals, 134)
	qt.Assert(t, p.links["b"], qt.Equals, l)
	for _, bad := range []string{`,"capacity":-1`, `,"capacity":1e15`, `,"capacity":"1"`} {
		p.ApplyRows([]cwport.Row{rowOf("b", `,"capacity":134`), rowOf("b", bad)}, false)
		qt.Assert(t, p.placement.Capacity("b") <= 134, qt.IsTrue)
	}
}
