package cwdatabase

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// loopNotify tells the connection where the log ends, at each change and as a
// heartbeat.
func (c *session) loopNotify() {
	m := c.member
	for {
		m.mu.Lock()
		changed := m.changed
		rep := m.reportLocked()
		m.mu.Unlock()
		c.sendMu.Lock()
		c.backend.Send(&pgproto3.NotificationResponse{
			PID:     c.pid,
			Channel: cwtarget.PositionChannel,
			Payload: cwtarget.FormatStatus(rep),
		})
		err := c.backend.Flush()
		c.sendMu.Unlock()
		if err != nil {
			return
		}
		waitHeartbeat(changed)
		m.thaw(context.Background())
	}
}
