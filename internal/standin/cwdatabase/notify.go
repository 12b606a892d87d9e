package cwdatabase

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// notifyPosition executes LISTEN: it sends the member's status as a notification
// on cwtarget.PositionChannel at each change, and at least every notifyInterval,
// until the connection fails.
func (c *session) notifyPosition() {
	m := c.member
	for {
		m.mu.Lock()
		changed := m.changed
		report := m.reportLocked()
		m.mu.Unlock()
		c.sendMu.Lock()
		c.backend.Send(&pgproto3.NotificationResponse{
			PID:     c.pid,
			Channel: cwtarget.PositionChannel,
			Payload: cwtarget.FormatStatus(report),
		})
		err := c.backend.Flush()
		c.sendMu.Unlock()
		if err != nil {
			return
		}
		waitForChange(changed)
		m.waitWhileFrozen(context.Background())
	}
}
