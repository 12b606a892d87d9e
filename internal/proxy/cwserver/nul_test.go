package cwserver

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Guards against a text that the target ends earlier than the proxy: it has a NUL inside.
func TestTextWithNULIsMalformed(t *testing.T) {
	for _, body := range []string{"SELECT 1\x00; DELETE FROM t\x00", "SELECT 1\x00x", "SELECT 1"} {
		qt.Check(t, (&pgproto3.Query{}).Decode([]byte(body)), qt.IsNotNil, qt.Commentf("%q", body))
	}
	qt.Check(t, (&pgproto3.Parse{}).Decode([]byte("s\x00SELECT 1\x00; DELETE FROM t\x00\x00\x00")), qt.IsNotNil)
}
