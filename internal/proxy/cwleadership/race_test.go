package cwleadership

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Guards against a statement that is placed at a member whose listing is being replaced at
// that moment. It takes the race detector to fail: go test -race.
func TestPrimaryWhileItsListingChanges(t *testing.T) {
	b := newTestGroup(t)
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.reportHealth("b", cwgroup.RoleReplica, 1, 100)
	now := b.clock.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 200 {
			b.listMembers(time.UnixMilli(500))
		}
	}()
	for range 200 {
		_, err := b.Primary()
		qt.Check(t, err, qt.IsNil)
		_, err = b.ConfirmedPrimary(context.Background(), now, now)
		qt.Check(t, err, qt.IsNil)
	}
	<-done
}
